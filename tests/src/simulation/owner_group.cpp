#include "owner_group.hpp"

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::tests
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds poll_interval(50);
constexpr milliseconds network_delay(30);
constexpr double max_clock_rate_error = 0.004;

} // namespace

owner_group::owner_group(unsigned int seed, fault_plan const & plan)
    : faults(plan)
    , random(seed)
    , nodes(node_count)
{
}

group_history owner_group::run(duration length)
{
    for (std::size_t index = 0; index < node_count; ++index)
    {
        this->start(index);
    }
    this->events.after(seconds(1),
                       [this]()
                       {
                           this->inject_fault();
                       });
    this->events.after(seconds(1),
                       [this]()
                       {
                           this->make_request();
                       });
    this->events.after(poll_interval,
                       [this]()
                       {
                           this->check_leases();
                       });
    while (this->events.step(length))
    {
    }
    if (this->stored_value.has_value())
    {
        this->history.epochs =
            static_cast<int>(this->stored_value->number.value());
    }
    return this->history;
}

bool owner_group::random_chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

duration owner_group::random_duration(duration min_value, duration max_value)
{
    return duration(std::uniform_int_distribution<duration::rep>(
        min_value.count(), max_value.count())(this->random));
}

clock_reading owner_group::read(node const & member) const
{
    duration const now = this->events.now();
    auto const local = duration_cast<duration>(
        std::chrono::duration<double, std::nano>(now) * member.clock_rate);
    return {time_point(member.clock_offset + local),
            wall_clock_start + now + member.wall_clock_error};
}

owner_group::node * owner_group::find(owner_identity const & identity)
{
    for (auto & member : this->nodes)
    {
        if (member.is_up && member.identity == identity)
        {
            return &member;
        }
    }
    return nullptr;
}

void owner_group::start(std::size_t index)
{
    lease_timing const timing;
    node & member = this->nodes[index];
    member = node();
    member.identity = {node_name(absl::StrCat("node-", index)),
                       incarnation(this->next_incarnation++)};
    member.clock_rate = std::uniform_real_distribution<double>(
        1 - max_clock_rate_error, 1 + max_clock_rate_error)(this->random);
    member.clock_offset = this->random_duration(seconds(0), seconds(100000));
    member.wall_clock_error =
        this->random_duration(milliseconds(-500), milliseconds(500));
    member.leader = std::make_unique<service_leader>(member.identity, timing);
    member.owner = std::make_unique<key_owner>(
        member.identity, timing, idempotency_limits());
    member.is_up = true;
    this->poll(index, member.identity);
}

void owner_group::stop(std::size_t index)
{
    this->nodes[index].is_up = false;
    this->events.after(this->random_duration(milliseconds(100), seconds(8)),
                       [this, index]()
                       {
                           this->start(index);
                       });
}

void owner_group::run_on(owner_identity const & to,
                         std::function<void(node &)> const & action)
{
    node * const member = this->find(to);
    if (member == nullptr)
    {
        return;
    }
    if (duration const wait = member->paused_until - this->events.now();
        wait > duration(0))
    {
        this->events.after(wait,
                           [this, to, action]()
                           {
                               this->run_on(to, action);
                           });
        return;
    }
    action(*member);
}

void owner_group::send(owner_identity const & to,
                       std::function<void(node &)> action)
{
    if (this->faults.lost_messages && this->random_chance(0.05))
    {
        return;
    }
    node const * const receiver = this->find(to);
    bool const is_partitioned =
        receiver != nullptr &&
        this->events.now() < receiver->network_partition_until;
    if (is_partitioned)
    {
        return;
    }
    duration delay = this->random_duration(milliseconds(1), network_delay);
    if (this->faults.lost_messages && this->random_chance(0.05))
    {
        delay += this->random_duration(seconds(0), seconds(6));
    }
    this->events.after(delay,
                       [this, to, action = std::move(action)]()
                       {
                           this->run_on(to, action);
                       });
}

void owner_group::poll(std::size_t index, owner_identity const & identity)
{
    this->run_on(identity,
                 [this](node & member)
                 {
                     this->renew(member);
                     this->call_platform(member);
                     this->send_handovers(member);
                 });
    if (this->find(identity) != nullptr)
    {
        this->events.after(poll_interval,
                           [this, index, identity]()
                           {
                               this->poll(index, identity);
                           });
    }
}

void owner_group::renew(node & member)
{
    clock_reading const reading = this->read(member);
    if (reading.now < member.owner->lease().next_renewal())
    {
        return;
    }
    auto const renewal = member.owner->lease().make_renewal(reading.now);
    owner_identity const from = member.identity;
    auto const & current_assignment = member.leader->current();
    // without a leader, any other node may know the current one
    auto const & random_node = this->nodes[this->random() % node_count];
    owner_identity const to =
        member.leader->is_leader(reading.now) ? from
        : current_assignment.has_value() && this->random_chance(0.8)
            ? current_assignment->leader
            : random_node.identity;
    auto const answer = [this, from, renewal, reading](node & receiver)
    {
        auto const grant =
            receiver.leader->renew(renewal, this->read(receiver).now);
        auto const apply_grant =
            [this, grant, sent = reading.now](node & sender)
        {
            clock_reading const receipt = this->read(sender);
            if (grant.current.has_value())
            {
                sender.leader->observe(*grant.current);
            }
            if (grant.from_leader)
            {
                sender.last_response = receipt.now;
            }
            sender.owner->apply_grant(grant, sent, receipt);
        };
        if (receiver.identity == from)
        {
            apply_grant(receiver);
            return;
        }
        this->send(from, apply_grant);
    };
    if (to == from)
    {
        answer(member);
        return;
    }
    this->send(to, answer);
}

void owner_group::send_handovers(node & member)
{
    for (auto & handover : member.owner->take_handovers())
    {
        this->history.records_handed_over +=
            static_cast<int>(handover.records.size());
        owner_identity const to = handover.to;
        this->send(to,
                   [this, handover = std::move(handover)](node & next)
                   {
                       next.owner->import_handover(handover, this->read(next));
                   });
    }
}

void owner_group::inject_fault()
{
    std::size_t const index = this->random() % node_count;
    node & member = this->nodes[index];
    switch (this->random() % 6)
    {
    case 0:
        if (this->faults.pauses)
        {
            member.paused_until =
                this->events.now() +
                this->random_duration(milliseconds(100), seconds(20));
        }
        break;
    case 1:
        if (this->faults.crashes && member.is_up)
        {
            this->stop(index);
        }
        break;
    case 2:
        if (this->faults.outages)
        {
            this->platform_down_until =
                this->events.now() +
                this->random_duration(seconds(0), seconds(15));
        }
        break;
    case 3:
        if (this->faults.partitions)
        {
            member.platform_partition_until =
                this->events.now() +
                this->random_duration(seconds(0), seconds(30));
        }
        break;
    case 4:
        if (this->faults.partitions)
        {
            member.network_partition_until =
                this->events.now() +
                this->random_duration(seconds(0), seconds(20));
        }
        break;
    default:
        if (this->faults.departures && member.is_up)
        {
            member.owner->lease().leave(this->read(member).now);
            member.leader->leave();
            this->events.after(seconds(5),
                               [this, index, identity = member.identity]()
                               {
                                   if (this->find(identity) != nullptr)
                                   {
                                       this->stop(index);
                                   }
                               });
        }
    }
    this->events.after(this->random_duration(milliseconds(200), seconds(4)),
                       [this]()
                       {
                           this->inject_fault();
                       });
}

} // namespace endivehinge::tests
