#include <common/gossip_network.hpp>

#include <algorithm> // max, min
#include <utility>   // move

#include <absl/random/distributions.h> // Bernoulli, Uniform
#include <absl/strings/str_cat.h>      // StrCat

namespace endivehinge::tools
{
namespace
{

constexpr duration step_span = std::chrono::milliseconds(10);
constexpr std::size_t steps_per_tick = 10;
constexpr std::size_t contacts_per_domain = 3;
constexpr std::size_t ip_and_udp_header_bytes = 28;
constexpr std::size_t max_waiting_datagrams = 256;
constexpr duration domain_delay = std::chrono::microseconds(500);
constexpr std::uint16_t control_port = 7400;
constexpr std::uint16_t peer_port = 7300;
constexpr std::size_t byte_values = 256;

endpoint address_of(std::size_t node, std::uint16_t port)
{
    return {absl::StrCat("10.0.", node / byte_values, ".", node % byte_values),
            port};
}

std::size_t node_at(endpoint const & address)
{
    std::size_t const third_dot = address.host.rfind('.');
    std::size_t const second_dot = address.host.rfind('.', third_dot - 1);
    std::size_t const high = std::stoul(address.host.substr(second_dot + 1));
    std::size_t const low = std::stoul(address.host.substr(third_dot + 1));
    return high * byte_values + low;
}

} // namespace

gossip_network::gossip_network(gossip_network_options chosen)
    : options(chosen)
    , random(chosen.seed)
    , slots(chosen.members)
{
}

void gossip_network::start(std::size_t node)
{
    slot & place = this->slots[node];
    ++place.runs;
    place.paused = false;
    place.waiting.clear();
    place.version = object_version();
    place.wanted = object_version();
    place.state = std::make_unique<membership>(this->describe(node),
                                               this->options.timing);
    place.state->join(this->contacts(), this->clock, this->random);
}

void gossip_network::start_all()
{
    for (std::size_t i = 0; i < this->size(); ++i)
    {
        this->start(i);
    }
}

void gossip_network::introduce_all()
{
    gossip_message message;
    message.kind = gossip_kind::sync_response;
    for (auto const & place : this->slots)
    {
        if (place.state != nullptr)
        {
            message.updates.push_back(
                {std::make_shared<member const>(place.state->self()),
                 member_state::alive});
        }
    }
    for (std::size_t i = 0; i < this->size(); ++i)
    {
        if (this->is_running(i))
        {
            std::size_t const other = i == 0 ? 1 : 0;
            message.sender = message.updates[other];
            this->at(i).receive(message,
                                message.sender.record->control_address,
                                this->clock,
                                this->random);
            static_cast<void>(this->at(i).take_events());
        }
    }
}

void gossip_network::crash(std::size_t node)
{
    this->slots[node].state.reset();
}

void gossip_network::leave(std::size_t node)
{
    this->at(node).leave(this->clock, this->random);
    this->collect(node);
    this->crash(node);
}

void gossip_network::pause(std::size_t node)
{
    this->slots[node].paused = true;
}

void gossip_network::resume(std::size_t node)
{
    slot & place = this->slots[node];
    place.paused = false;
    auto const waiting = std::move(place.waiting);
    place.waiting.clear();
    for (auto const & each : waiting)
    {
        this->at(node).receive(
            each.message, each.to, this->clock, this->random);
    }
    this->collect(node);
}

void gossip_network::cut(cut_rule next)
{
    this->rule = std::move(next);
}

void gossip_network::run_for(duration span)
{
    time_point const end = this->clock + span;
    while (this->clock < end)
    {
        this->step();
    }
}

bool gossip_network::run_until(std::function<bool()> const & holds,
                               duration limit)
{
    time_point const end = this->clock + limit;
    while (this->clock < end)
    {
        if (holds())
        {
            return true;
        }
        this->run_for(std::chrono::seconds(1));
    }
    return holds();
}

bool gossip_network::agreed()
{
    for (std::size_t i = 0; i < this->size(); ++i)
    {
        std::size_t const node = (this->last_wrong + i) % this->size();
        for (std::size_t other = 0; other < this->size(); ++other)
        {
            if (this->is_running(node) && !this->knows_right(node, other))
            {
                this->last_wrong = node;
                return false;
            }
        }
    }
    return true;
}

void gossip_network::set_configuration_version(std::size_t node,
                                               object_version version)
{
    slot & place = this->slots[node];
    place.version = version;
    place.state->set_configuration_version(version, this->clock, this->random);
    if (this->adoption)
    {
        this->adoption(node, version);
    }
    this->collect(node);
}

void gossip_network::announce(std::size_t from, std::size_t to)
{
    gossip_message message;
    message.kind = gossip_kind::announcement;
    message.sender = {std::make_shared<member const>(this->at(from).self()),
                      member_state::alive};
    message.configuration = this->version_at(from);
    this->transmit(from, {address_of(to, control_port), message});
}

object_version gossip_network::version_at(std::size_t node) const
{
    return this->slots[node].version;
}

void gossip_network::on_adoption(adoption_rule next)
{
    this->adoption = std::move(next);
}

membership & gossip_network::at(std::size_t node)
{
    return *this->slots[node].state;
}

bool gossip_network::is_running(std::size_t node) const
{
    return this->slots[node].state != nullptr;
}

node_name gossip_network::name_of(std::size_t node) const
{
    return node_name(absl::StrCat("node-", node));
}

std::size_t gossip_network::domain_of(std::size_t node) const
{
    return node % this->options.domains;
}

std::size_t gossip_network::region_of(std::size_t node) const
{
    return this->domain_of(node) % this->options.regions;
}

std::size_t gossip_network::size() const
{
    return this->slots.size();
}

time_point gossip_network::now() const
{
    return this->clock;
}

gossip_counters const & gossip_network::counters() const
{
    return this->total;
}

gossip_counters const & gossip_network::counters(std::size_t node) const
{
    return this->slots[node].sent;
}

void gossip_network::reset_counters()
{
    this->total = gossip_counters();
    for (auto & place : this->slots)
    {
        place.sent = gossip_counters();
    }
}

member gossip_network::describe(std::size_t node) const
{
    member self;
    self.name = this->name_of(node);
    self.run = incarnation(this->slots[node].runs);
    self.service = service_name(absl::StrCat(
        "service-", node / this->options.domains % this->options.services));
    self.domain =
        failure_domain(absl::StrCat("domain-", this->domain_of(node)));
    self.region = region_name(absl::StrCat("region-", this->region_of(node)));
    self.peer_address = address_of(node, peer_port);
    self.control_address = address_of(node, control_port);
    self.slots = 20;
    self.accepts_work = true;
    return self;
}

std::vector<endpoint> gossip_network::contacts() const
{
    std::size_t const count =
        std::min(this->size(), contacts_per_domain * this->options.domains);
    std::vector<endpoint> found;
    for (std::size_t i = 0; i < count; ++i)
    {
        found.push_back(address_of(i, control_port));
    }
    return found;
}

void gossip_network::step()
{
    this->clock += step_span;
    while (!this->in_flight.empty() && this->in_flight.top().at <= this->clock)
    {
        delivery const next = this->in_flight.top();
        this->in_flight.pop();
        this->deliver(next);
    }
    this->adopt_due();
    for (std::size_t i = this->steps % steps_per_tick; i < this->size();
         i += steps_per_tick)
    {
        if (this->is_running(i) && !this->slots[i].paused)
        {
            this->at(i).tick(this->clock, this->random);
            this->collect(i);
        }
    }
    ++this->steps;
}

void gossip_network::deliver(delivery const & next)
{
    slot & place = this->slots[next.to];
    if (place.state == nullptr)
    {
        return;
    }
    endpoint const from = address_of(next.from, control_port);
    if (place.paused)
    {
        if (place.waiting.size() < max_waiting_datagrams)
        {
            place.waiting.push_back({from, *next.message});
        }
        return;
    }
    place.state->receive(*next.message, from, this->clock, this->random);
    this->collect(next.to);
}

void gossip_network::collect(std::size_t node)
{
    for (auto & sent : this->at(node).take_messages())
    {
        this->transmit(node, std::move(sent));
    }
    slot & place = this->slots[node];
    for (auto const & event : this->at(node).take_events())
    {
        if (event.kind == membership_event_kind::newer_configuration &&
            event.configuration > place.wanted)
        {
            place.wanted = event.configuration;
            this->adoptions.push({this->clock + this->options.adoption_delay,
                                  node,
                                  event.configuration});
        }
    }
}

void gossip_network::adopt_due()
{
    while (!this->adoptions.empty() && this->adoptions.top().at <= this->clock)
    {
        pending_adoption const next = this->adoptions.top();
        this->adoptions.pop();
        if (this->is_running(next.node) &&
            next.version > this->slots[next.node].version)
        {
            this->set_configuration_version(next.node, next.version);
        }
    }
}

void gossip_network::transmit(std::size_t from, outgoing_gossip sent)
{
    this->count(from, sent.message);
    std::size_t const to = node_at(sent.to);
    if (to >= this->size() || (this->rule && this->rule(from, to)) ||
        absl::Bernoulli(this->random, this->options.loss))
    {
        return;
    }
    auto const shared =
        std::make_shared<gossip_message const>(std::move(sent.message));
    int const copies =
        absl::Bernoulli(this->random, this->options.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        this->in_flight.push({this->clock + this->delay(from, to),
                              ++this->deliveries_made,
                              from,
                              to,
                              shared});
    }
}

void gossip_network::count(std::size_t from, gossip_message & message)
{
    ++this->total.datagrams;
    ++this->slots[from].sent.datagrams;
    std::string const datagram = this->codec.encode(message);
    std::uint64_t const bytes = datagram.size() + ip_and_udp_header_bytes;
    this->total.bytes += bytes;
    this->slots[from].sent.bytes += bytes;
    this->total.largest_datagram_bytes = std::max<std::uint64_t>(
        this->total.largest_datagram_bytes, datagram.size());
    failure reason;
    auto decoded = this->codec.decode(datagram, reason);
    if (!decoded.has_value())
    {
        ++this->total.undecodable;
    }
    else if (this->options.deliver_decoded)
    {
        message = *std::move(decoded);
    }
}

duration gossip_network::delay(std::size_t from, std::size_t to)
{
    bool const is_near = this->region_of(from) == this->region_of(to);
    double const part = absl::Uniform(this->random, 0.0, 1.0);
    return (is_near ? domain_delay : this->options.region_delay) +
           std::chrono::duration_cast<duration>(this->options.max_jitter *
                                                part);
}

bool gossip_network::knows_right(std::size_t node, std::size_t other)
{
    auto const state = this->at(node).state_of(this->name_of(other));
    if (this->is_running(other))
    {
        return state == member_state::alive;
    }
    return !state.has_value() || is_removed(*state);
}

} // namespace endivehinge::tools
