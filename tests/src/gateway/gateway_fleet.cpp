#include "gateway_fleet.hpp"

#include <gtest/gtest.h>

#include <platform/platform.hpp>

namespace endivehinge::tests
{

using nlohmann::json;
namespace http = boost::beast::http;

namespace
{

// longer than any timeout of the code under test
constexpr duration wait_limit = std::chrono::seconds(20);

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

gateway_fleet::gateway_fleet()
    : store(this->io)
{
}

endpoint gateway_fleet::reserve_address()
{
    using boost::asio::ip::tcp;
    tcp::socket reservation(this->io, tcp::v4());
    reservation.set_option(boost::asio::socket_base::reuse_address(true));
    reservation.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    auto const port = reservation.local_endpoint().port();
    this->reserved_ports.push_back(std::move(reservation));
    return {"127.0.0.1", port};
}

fleet_member & gateway_fleet::add(std::string const & service,
                                  std::string const & domain,
                                  std::string const & version)
{
    auto const number = std::to_string(this->members.size());
    auto member = std::make_unique<fleet_member>();
    member->version = version;
    member->target = std::make_unique<target_stand_in>(this->io, "i-" + number);
    detail::gateway_settings settings;
    settings.node = node_name("node-" + number);
    settings.domain = failure_domain(domain);
    settings.service = service_name(service);
    settings.target_address = member->target->address();
    if (this->use_target_relays)
    {
        member->target_link = std::make_unique<fault_relay>(
            this->io, endpoint{"127.0.0.1", 0}, settings.target_address);
        settings.target_address = member->target_link->address();
    }
    settings.store = this->store.address();
    if (this->use_store_relays)
    {
        member->store_link = std::make_unique<fault_relay>(
            this->io, endpoint{"127.0.0.1", 0}, settings.store);
        settings.store = member->store_link->address();
    }
    settings.seeds = this->seeds;
    settings.hedge_share = this->hedge_share;
    settings.bounds.retry_burst = 100;
    settings.accounts = this->account_bounds;
    settings.rollouts = this->rollouts;
    this->start_node(*member, std::move(settings));
    this->members.push_back(std::move(member));
    return *this->members.back();
}

void gateway_fleet::start_node(fleet_member & member,
                               detail::gateway_settings settings)
{
    settings.client_listener = this->reserve_address();
    settings.peer_listener = this->reserve_address();
    settings.readiness_listener = this->reserve_address();
    settings.report_listener = this->reserve_address();
    auto adapters = platform::make_adapters(settings);
    member.node = std::make_unique<detail::gateway_parts>(
        this->io, std::move(settings), std::move(adapters));
    failure reason;
    EXPECT_TRUE(member.node->open(reason)) << reason.describe();
}

void gateway_fleet::restart_node(fleet_member & member)
{
    auto settings = member.node->state.settings;
    member.node->client_listener.abort();
    member.node->peer_listener.abort();
    member.node->readiness_listener.abort();
    member.node->report_listener.abort();
    this->ended_nodes.push_back(std::move(member.node));
    this->start_node(member, std::move(settings));
}

void gateway_fleet::configure(int version, std::string const & service)
{
    auto const route = [this, &service](char const * prefix, char const * type)
    {
        return json{{"hostname", "h.example"},
                    {"pathPrefix", prefix},
                    {"routeType", type},
                    {"timeoutS", this->route_timeout_s},
                    {"targetLatencyS", 0.5},
                    {"priority", 1},
                    {"maxAttempts", this->route_attempts},
                    {"service", service}};
    };
    json spec = {{"version", "r" + std::to_string(version)},
                 {"routes",
                  {{"safe", route("/safe/", "safe")},
                   {"unsafe", route("/unsafe/", "unsafe")}}},
                 {"services",
                  {{service,
                    {{"healthCheckPath", "/health"},
                     {"coldStartS", 3.0},
                     {"coldPerS", 50.0}}}}}};
    if (!this->tenants.is_null())
    {
        spec["tenants"] = this->tenants;
        spec["routes"]["public"] = route("/public/", "safe");
        spec["routes"]["public"]["public"] = true;
    }
    this->store.put("config", "main", std::move(spec));
}

unsigned gateway_fleet::report(fleet_member & member,
                               std::string const & state,
                               int sequence)
{
    std::optional<detail::call_result> result;
    auto const call = this->send_report(member,
                                        state,
                                        sequence,
                                        [&result](detail::call_result received)
                                        {
                                            result = std::move(received);
                                        });
    EXPECT_TRUE(this->run_until(
        [&result]
        {
            return result.has_value();
        }));
    return result->response.result_int();
}

std::shared_ptr<detail::client_connection>
gateway_fleet::send_report(fleet_member & member,
                           std::string const & state,
                           int sequence,
                           std::function<void(detail::call_result)> done)
{
    auto const & settings = member.node->state.settings;
    bool const is_leaving = state == "leave";
    detail::request_message message{http::verb::post,
                                    "/api/instances/" + member.target->id +
                                        (is_leaving ? "/leave" : "/heartbeat"),
                                    11};
    message.body() = json{
        {"address", settings.target_address.to_string()},
        {"born", member.started_ms},
        {"info",
         {{"service",
           member.service.empty() ? settings.service.value() : member.service},
          {"zone", settings.domain.value()},
          {"version", member.version},
          {"slots", 10}}},
        {"status",
         {{"state", state},
          {"sequence", sequence},
          {"coldRemainingS",
           0}}}}.dump();
    message.prepare_payload();
    detail::upstream client(
        this->io, settings.report_listener, detail::upstream_options{});
    detail::call_options options;
    options.deadline = now() + wait_limit;
    return client.send(std::move(message), options, true, std::move(done));
}

void gateway_fleet::start_members(std::size_t count,
                                  std::string const & service)
{
    this->configure(1, service);
    for (std::size_t i = 0; i < count; ++i)
    {
        this->add(service);
    }
    for (auto const & member : this->members)
    {
        EXPECT_EQ(this->report(*member, "ready", 1), 200U);
    }
    EXPECT_TRUE(this->run_until(
        [this, count, &service]
        {
            for (auto const & member : this->members)
            {
                auto const & fleet = member->node->state.fleet;
                if (!fleet.configuration() ||
                    fleet.ready_targets(service_name(service)).size() < count)
                {
                    return false;
                }
            }
            return true;
        }));
}

std::shared_ptr<gateway_fleet::client_call>
gateway_fleet::send(fleet_member & member,
                    std::string const & path,
                    std::string const & id,
                    int time_left_ms)
{
    detail::request_message message{
        path.rfind("/unsafe/", 0) == 0 ? http::verb::post : http::verb::get,
        path,
        11};
    message.set(http::field::host, "h.example");
    message.set("Request-Id", id);
    message.set("Deadline-Ms", std::to_string(time_left_ms));
    for (auto const & [name, value] : this->request_fields)
    {
        message.insert(name, value);
    }
    if (message.method() == http::verb::post)
    {
        message.body() = this->upload;
    }
    message.prepare_payload();
    auto const & address = member.node->state.settings.client_listener;
    this->clients.push_back(std::make_unique<detail::upstream>(
        this->io, address, detail::upstream_options{}));
    detail::call_options options;
    options.deadline = now() + wait_limit;
    auto call = std::make_shared<client_call>();
    call->connection =
        this->clients.back()->send(std::move(message),
                                   options,
                                   true,
                                   [call](detail::call_result received)
                                   {
                                       call->result = std::move(received);
                                   });
    return call;
}

detail::call_result gateway_fleet::send_and_wait(fleet_member & member,
                                                 std::string const & path,
                                                 std::string const & id,
                                                 int time_left_ms)
{
    auto const call = this->send(member, path, id, time_left_ms);
    EXPECT_TRUE(this->run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    return call->result.value_or(detail::call_result{});
}

bool gateway_fleet::run_until(std::function<bool()> const & condition)
{
    auto const end = now() + wait_limit;
    while (!condition())
    {
        if (now() > end)
        {
            return false;
        }
        this->io.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

void gateway_fleet::run_for(duration length)
{
    this->io.run_for(length);
}

std::size_t gateway_fleet::execution_count(std::string const & request) const
{
    std::size_t sum = 0;
    for (auto const & member : this->members)
    {
        sum += member->target->execution_count(request);
    }
    return sum;
}

} // namespace endivehinge::tests
