#include <common/local_deployment.hpp>

#include <fstream> // ofstream
#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // Now, SleepFor
#include <nlohmann/json.hpp>      // json

#include <common/control_client.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>
#include <endivehinge/detail/settings/configuration_writer.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr char const * loopback = "127.0.0.1";
constexpr absl::Duration poll_step = absl::Milliseconds(50);
constexpr duration call_timeout = std::chrono::seconds(2);

} // namespace

local_deployment::local_deployment(std::string programs, std::string folder)
    : binaries(std::move(programs))
    , work(std::move(folder))
{
}

bool local_deployment::start_platform(std::string const & configuration,
                                      failure & reason)
{
    this->store = child_process::start({this->binaries + "/platform_stand_in"},
                                       this->work + "/platform.log",
                                       reason);
    if (this->store == nullptr)
    {
        return false;
    }
    detail::http_client client{detail::http_client_limits()};
    detail::http_object_store objects(
        this->platform_address(), client, call_timeout);
    auto const read =
        detail::read_configuration(configuration, "configuration", reason);
    if (!read.has_value())
    {
        return false;
    }
    for (auto const & service : read->services)
    {
        configuration_entry entry;
        entry.name = service.name.value();
        entry.text = detail::write_service_configuration(service);
        if (!objects.put(configuration_kind,
                         entry.object_name(),
                         object_version(),
                         entry.to_value(),
                         reason))
        {
            return false;
        }
    }
    return true;
}

bool local_deployment::start_instance(instance_plan const & plan,
                                      failure & reason)
{
    running_instance next;
    next.plan = plan;
    next.node = child_process::start({this->binaries + "/endivehinge",
                                      "node",
                                      "--settings",
                                      this->write_settings(plan)},
                                     this->work + "/" + plan.name + ".log",
                                     reason);
    if (next.node == nullptr)
    {
        return false;
    }
    if (!this->start_target(next, reason))
    {
        return false;
    }
    this->instances.push_back(std::move(next));
    return true;
}

void local_deployment::write_history(std::string const & path)
{
    this->history_path = path;
}

void local_deployment::reach_platform_through(endpoint const & relay)
{
    this->platform_relay = relay;
}

child_process * local_deployment::start_relay(std::string const & to,
                                              failure & reason)
{
    auto relay = child_process::start(
        {this->binaries + "/relay_stand_in", "--to", to}, {}, reason);
    if (relay == nullptr)
    {
        return nullptr;
    }
    this->relays.push_back(std::move(relay));
    return this->relays.back().get();
}

bool local_deployment::start_target(running_instance & next,
                                    failure & reason) const
{
    instance_plan const & plan = next.plan;
    std::vector<std::string> command = {
        this->binaries + "/target_stand_in",
        "--node",
        absl::StrCat(loopback, ":", next.node->port("admin")),
        "--ingress",
        absl::StrCat(loopback, ":", next.node->port("ingress")),
        "--name",
        plan.name,
        "--history",
        this->history_path};
    if (plan.target_behind_relay)
    {
        next.relay = child_process::start(
            {this->binaries + "/relay_stand_in"}, {}, reason);
        if (next.relay == nullptr)
        {
            return false;
        }
        command.emplace_back("--announce");
        command.push_back(
            absl::StrCat(loopback, ":", next.relay->port("port")));
    }
    command.insert(command.end(),
                   plan.target_arguments.begin(),
                   plan.target_arguments.end());
    next.target = child_process::start(
        command, this->work + "/" + plan.name + "-target.log", reason);
    if (next.target == nullptr)
    {
        return false;
    }
    nlohmann::json const link = {
        {"to", absl::StrCat(loopback, ":", next.target->port("port"))}};
    return next.relay == nullptr || control(*next.relay, link, reason);
}

bool local_deployment::restart_target(std::size_t index, failure & reason)
{
    auto & again = this->instances[index];
    again.target.reset();
    return this->start_target(again, reason);
}

bool local_deployment::wait_until_joined(absl::Duration patience)
{
    absl::Time const deadline = absl::Now() + patience;
    for (auto const & candidate : this->instances)
    {
        while (!this->has_joined(candidate))
        {
            if (absl::Now() > deadline)
            {
                return false;
            }
            absl::SleepFor(poll_step);
        }
    }
    return true;
}

endpoint local_deployment::ingress(std::size_t index) const
{
    return {loopback, this->instances[index].node->port("ingress")};
}

running_instance & local_deployment::instance(std::size_t index)
{
    return this->instances[index];
}

std::size_t local_deployment::size() const
{
    return this->instances.size();
}

running_instance * local_deployment::find(std::string const & name)
{
    for (auto & candidate : this->instances)
    {
        if (candidate.plan.name == name)
        {
            return &candidate;
        }
    }
    return nullptr;
}

child_process & local_deployment::platform()
{
    return *this->store;
}

endpoint local_deployment::platform_address() const
{
    return {loopback, this->store->port("port")};
}

std::string local_deployment::write_settings(instance_plan const & plan) const
{
    endpoint const reached =
        this->platform_relay.value_or(this->platform_address());
    std::string path = this->work + "/" + plan.name + ".yaml";
    std::ofstream file(path);
    file << "name: " << plan.name << "\n"
         << "service: " << plan.service << "\n"
         << "failure_domain: " << plan.failure_domain << "\n"
         << "region: local\n"
         << "listen:\n"
         << "  ingress: 127.0.0.1:0\n"
         << "  peers: 127.0.0.1:0\n"
         << "  control: 127.0.0.1:0\n"
         << "  admin: 127.0.0.1:0\n"
         << "platform: " << reached.to_string() << "\n";
    return path;
}

bool local_deployment::has_joined(running_instance const & candidate) const
{
    detail::http_client client{detail::http_client_limits()};
    detail::http_exchange_options options;
    options.timeout = call_timeout;
    detail::http_exchange_report report;
    failure reason;
    auto const response =
        client.exchange({loopback, candidate.node->port("admin")},
                        {"GET", "/status", {}, {}},
                        options,
                        report,
                        reason);
    if (!response.has_value())
    {
        return false;
    }
    auto const status = nlohmann::json::parse(response->body, nullptr, false);
    std::size_t ready = 0;
    for (auto const & one : status.at("members"))
    {
        ready += one.at("accepts_work").get<bool>() ? 1 : 0;
    }
    return ready >= this->instances.size() &&
           status.at("configuration_version").get<std::uint64_t>() > 0;
}

} // namespace endivehinge::tools
