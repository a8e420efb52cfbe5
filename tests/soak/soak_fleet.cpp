#include "soak_fleet.hpp"

#include <algorithm> // any_of, none_of
#include <csignal>   // SIGCONT, SIGTERM
#include <fstream>   // ofstream
#include <iostream>  // cout

#include <boost/asio/steady_timer.hpp> // steady_timer
#include <unistd.h>                    // getpid

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::tests
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint16_t client_port = 8500;
constexpr std::uint16_t peer_port = 8509;
constexpr std::uint16_t readiness_port = 8501;
constexpr std::uint16_t report_port = 8502;
constexpr std::uint16_t target_port = 8600;
constexpr std::size_t seed_count = 3;
constexpr std::size_t domains = 2;
// a node that was started takes connections by then
constexpr milliseconds start_time(1500);
// this process counts as paused beyond that, and is looked at so often
constexpr milliseconds own_pause(300);
constexpr milliseconds own_pause_check(50);
constexpr char const * service = "web";
constexpr char const * entries = "targets";
constexpr char const * evacuations = "evacuations";

// a loopback network for this process, so that runs do not meet
std::string host_of(std::size_t index)
{
    int const process = getpid();
    return "127." + std::to_string(1 + process % 250) + "." +
           std::to_string(process / 250 % 250) + "." +
           std::to_string(index + 1);
}

std::string domain_of(std::size_t index)
{
    return "zone-" + std::to_string(index % domains);
}

} // namespace

soak_fleet::soak_fleet(soak_plan chosen)
    : plan(std::move(chosen))
    , store(this->io)
    , began(detail::loop_now())
{
    this->configure();
    for (std::size_t i = 0; i < this->plan.members; ++i)
    {
        this->add_member(i);
    }
    for (std::size_t i = 0; i < this->plan.members; ++i)
    {
        this->start_node(i);
        this->start_target(i);
    }
    this->watch_own_pauses(this->now());
}

void soak_fleet::watch_own_pauses(duration last)
{
    if (this->now() - last > own_pause)
    {
        for (auto const & member : this->members)
        {
            member->troubles.push_back({last, this->now()});
            member->target_troubles.push_back({last, this->now()});
        }
        std::cout << "own_pause at_ms=" << last / milliseconds(1)
                  << " until_ms=" << this->now() / milliseconds(1) << "\n";
    }
    this->after(own_pause_check,
                [this, at = this->now()]
                {
                    this->watch_own_pauses(at);
                });
}

std::vector<std::uint16_t> soak_fleet::listener_ports()
{
    return {client_port, peer_port, readiness_port, report_port};
}

duration soak_fleet::now() const
{
    return detail::loop_now() - this->began;
}

void soak_fleet::after(duration span, std::function<void()> action)
{
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(this->io, span);
    timer->async_wait(
        [timer, action = std::move(action)](boost::system::error_code error)
        {
            if (!error)
            {
                action();
            }
        });
}

bool soak_fleet::run_until(duration patience,
                           std::function<bool()> const & condition)
{
    auto const end = this->now() + patience;
    while (!condition())
    {
        if (this->now() > end)
        {
            return false;
        }
        this->io.run_one_for(milliseconds(5));
    }
    return true;
}

void soak_fleet::configure()
{
    this->version += 1;
    if (!this->store_is_away)
    {
        this->write_configuration();
    }
}

void soak_fleet::evacuate(std::string const & domain)
{
    this->evacuated = domain;
    std::cout << "evacuated at_ms=" << this->now() / milliseconds(1) << " ["
              << domain << "]\n";
    if (!this->store_is_away)
    {
        this->write_evacuations();
    }
}

void soak_fleet::write_again()
{
    if (!this->store_is_away)
    {
        this->write_configuration();
        this->write_evacuations();
    }
}

void soak_fleet::write_evacuations()
{
    for (std::size_t i = 0; i < domains; ++i)
    {
        auto const name = domain_of(i);
        bool const is_stored = !this->store.spec(evacuations, name).is_null();
        if (name == this->evacuated && !is_stored)
        {
            this->store.put(evacuations, name, json::object());
        }
        else if (name != this->evacuated && is_stored)
        {
            this->store.erase(evacuations, name);
        }
    }
}

void soak_fleet::write_configuration()
{
    auto const route = [](char const * prefix, char const * type)
    {
        return json{{"hostname", "h.example"},
                    {"pathPrefix", prefix},
                    {"routeType", type},
                    {"timeoutS", 2.0},
                    {"targetLatencyS", 0.25},
                    {"priority", 1},
                    {"maxAttempts", 2},
                    {"service", service}};
    };
    this->store.put("config",
                    "main",
                    {{"version", "r" + std::to_string(this->version)},
                     {"routes",
                      {{"safe", route("/safe/", "safe")},
                       {"unsafe", route("/unsafe/", "unsafe")}}},
                     {"services",
                      {{service,
                        {{"healthCheckPath", "/health"},
                         {"coldStartS", 0.5},
                         {"coldPerS", 100.0}}}}}});
}

void soak_fleet::add_member(std::size_t index)
{
    auto member = std::make_unique<soak_member>();
    member->host = host_of(index);
    auto const link = [this, &member](endpoint const & to)
    {
        return std::make_unique<fault_relay>(
            this->io, endpoint{member->host, 0}, to);
    };
    member->client_link = link({member->host, client_port});
    member->target_link = link({member->host, target_port});
    member->store_link = link(this->store.address());
    member->clients = std::make_unique<detail::upstream>(
        this->io, member->client_link->address(), detail::upstream_options{});
    member->settings =
        this->plan.folder + "/node-" + std::to_string(index) + ".toml";
    this->write_settings(*member, index);
    this->members.push_back(std::move(member));
}

void soak_fleet::write_settings(soak_member const & member,
                                std::size_t index) const
{
    std::ofstream file(member.settings);
    auto const address = [&member](std::uint16_t port)
    {
        return "\"" + endpoint{member.host, port}.to_string() + "\"\n";
    };
    file << "nodeName = \"node-" << index << "\"\n"
         << "zone = \"" << domain_of(index) << "\"\n"
         << "service = \"" << service << "\"\n"
         << "appAddr = \"" << member.target_link->address().to_string()
         << "\"\nbounds = [\"graceS=" << this->plan.grace_s << "\"]\nseeds = [";
    for (std::size_t i = 0; i < seed_count; ++i)
    {
        file << "\"" << endpoint{host_of(i), report_port}.to_string() << "\", ";
    }
    file << "]\n[listen]\noutbound = " << address(client_port)
         << "inbound = " << address(peer_port)
         << "ready = " << address(readiness_port)
         << "control = " << address(report_port) << "[platform]\naddress = \""
         << member.store_link->address().to_string()
         << "\"\n[limits]\nmemoryMb = " << (node_memory_bytes >> 20U) << "\n";
}

void soak_fleet::start_node(std::size_t index)
{
    if (this->closing)
    {
        return;
    }
    auto & member = *this->members[index];
    member.troubles.push_back({this->now(), this->now() + start_time});
    member.node = std::make_unique<soak_process>(
        std::vector<std::string>{
            this->plan.endivehinge, "serve", "--settings", member.settings},
        this->plan.folder + "/node-" + std::to_string(index) + ".log");
}

void soak_fleet::start_target(std::size_t index)
{
    auto & member = *this->members[index];
    if (member.target && member.target->runs())
    {
        return;
    }
    member.target_runs += 1;
    auto const name = std::to_string(index);
    member.target = std::make_unique<soak_process>(
        std::vector<std::string>{this->plan.soak,
                                 "--target",
                                 this->target_id(index),
                                 "--service",
                                 service,
                                 "--domain",
                                 domain_of(index),
                                 "--listener",
                                 endpoint{member.host, target_port}.to_string(),
                                 "--announced",
                                 member.target_link->address().to_string(),
                                 "--reports",
                                 endpoint{member.host, report_port}.to_string(),
                                 "--events",
                                 this->plan.folder + "/target-" + name +
                                     ".events",
                                 "--seed",
                                 std::to_string(this->plan.seed + index)},
        this->plan.folder + "/target-" + name + ".log");
}

std::string soak_fleet::target_id(std::size_t index) const
{
    return "i-" + std::to_string(index) + "-" +
           std::to_string(this->members[index]->target_runs);
}

void soak_fleet::calm()
{
    this->store.unresponsive = false;
    this->store.status = 0;
    this->store.deliver_withheld_events();
    this->store.responses_to_drop = 0;
    for (std::size_t i = 0; i < this->members.size(); ++i)
    {
        auto & member = *this->members[i];
        for (auto * const link :
             {&member.client_link, &member.target_link, &member.store_link})
        {
            (*link)->set_faults({});
        }
        member.node->signal(SIGCONT);
        member.target->signal(SIGCONT);
    }
    this->start_ended_processes();
}

void soak_fleet::start_ended_processes()
{
    for (std::size_t i = 0; i < this->members.size(); ++i)
    {
        auto & member = *this->members[i];
        if (!member.node->runs())
        {
            this->start_node(i);
        }
        if (!member.target->runs())
        {
            this->start_target(i);
        }
    }
}

std::vector<std::string> soak_fleet::missing_entries() const
{
    std::vector<std::string> missing;
    for (std::size_t i = 0; i < this->members.size(); ++i)
    {
        auto const name = "node-" + std::to_string(i);
        auto const entry = this->store.spec(entries, name);
        if (entry.is_null() ||
            (this->plan.restores && entry.at("target") != this->target_id(i)))
        {
            missing.push_back(name);
        }
    }
    return missing;
}

bool soak_fleet::stop_nodes(duration patience)
{
    this->closing = true;
    for (auto const & member : this->members)
    {
        member->node->signal(SIGTERM);
    }
    return this->run_until(patience,
                           [this]
                           {
                               return std::none_of(
                                   this->members.begin(),
                                   this->members.end(),
                                   [](auto const & member)
                                   {
                                       return member->node->runs();
                                   });
                           });
}

duration soak_fleet::since_start(std::int64_t monotonic_ms) const
{
    return milliseconds(monotonic_ms) - this->began.time_since_epoch();
}

bool soak_fleet::touches(std::vector<trouble_span> const & spans,
                         duration from,
                         duration to)
{
    return std::any_of(spans.begin(),
                       spans.end(),
                       [from, to](trouble_span const & one)
                       {
                           return one.from <= to && from <= one.to;
                       });
}

} // namespace endivehinge::tests
