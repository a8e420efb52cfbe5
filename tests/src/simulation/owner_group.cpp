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

constexpr milliseconds tick_interval(50);
constexpr milliseconds network_delay(30);
constexpr double greatest_rate_error = 0.004;

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
                           this->make_fault();
                       });
    this->events.after(seconds(1),
                       [this]()
                       {
                           this->make_request();
                       });
    this->events.after(tick_interval,
                       [this]()
                       {
                           this->check_leases();
                       });
    while (this->events.step(length))
    {
    }
    if (this->object.has_value())
    {
        this->history.epochs = static_cast<int>(this->object->number.value());
    }
    return this->history;
}

bool owner_group::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

duration owner_group::between(duration least, duration most)
{
    return duration(std::uniform_int_distribution<duration::rep>(
        least.count(), most.count())(this->random));
}

clock_reading owner_group::read(node const & one) const
{
    duration const now = this->events.now();
    auto const local = duration_cast<duration>(
        std::chrono::duration<double, std::nano>(now) * one.rate);
    return {time_point(one.offset + local), wall_start + now + one.wall_error};
}

owner_group::node * owner_group::find(owner_identity const & identity)
{
    for (auto & one : this->nodes)
    {
        if (one.is_up && one.identity == identity)
        {
            return &one;
        }
    }
    return nullptr;
}

void owner_group::start(std::size_t index)
{
    lease_timing const timing;
    node & one = this->nodes[index];
    one = node();
    one.identity = {node_name(absl::StrCat("node-", index)),
                    incarnation(this->next_run++)};
    one.rate = std::uniform_real_distribution<double>(
        1 - greatest_rate_error, 1 + greatest_rate_error)(this->random);
    one.offset = this->between(seconds(0), seconds(100000));
    one.wall_error = this->between(milliseconds(-500), milliseconds(500));
    one.leader = std::make_unique<service_leader>(one.identity, timing);
    one.owner =
        std::make_unique<key_owner>(one.identity, timing, idempotency_limits());
    one.is_up = true;
    this->tick(index, one.identity);
}

void owner_group::stop(std::size_t index)
{
    this->nodes[index].is_up = false;
    this->events.after(this->between(milliseconds(100), seconds(8)),
                       [this, index]()
                       {
                           this->start(index);
                       });
}

void owner_group::at(owner_identity const & to,
                     std::function<void(node &)> const & action)
{
    node * const one = this->find(to);
    if (one == nullptr)
    {
        return;
    }
    if (duration const wait = one->paused_until - this->events.now();
        wait > duration(0))
    {
        this->events.after(wait,
                           [this, to, action]()
                           {
                               this->at(to, action);
                           });
        return;
    }
    action(*one);
}

void owner_group::send(owner_identity const & to,
                       std::function<void(node &)> action)
{
    if (this->faults.lost_messages && this->chance(0.05))
    {
        return;
    }
    node const * const receiver = this->find(to);
    bool const is_cut =
        receiver != nullptr && this->events.now() < receiver->network_cut_until;
    if (is_cut)
    {
        return;
    }
    duration delay = this->between(milliseconds(1), network_delay);
    if (this->faults.lost_messages && this->chance(0.05))
    {
        delay += this->between(seconds(0), seconds(6));
    }
    this->events.after(delay,
                       [this, to, action = std::move(action)]()
                       {
                           this->at(to, action);
                       });
}

void owner_group::tick(std::size_t index, owner_identity const & identity)
{
    this->at(identity,
             [this](node & one)
             {
                 this->renew(one);
                 this->call_platform(one);
                 this->send_handovers(one);
             });
    if (this->find(identity) != nullptr)
    {
        this->events.after(tick_interval,
                           [this, index, identity]()
                           {
                               this->tick(index, identity);
                           });
    }
}

void owner_group::renew(node & one)
{
    clock_reading const at = this->read(one);
    if (at.now < one.owner->lease().next_renewal())
    {
        return;
    }
    auto const asked = one.owner->lease().make_renewal(at.now);
    owner_identity const from = one.identity;
    auto const & known = one.leader->current();
    // without a keeper, any other node may know who it is
    auto const & other = this->nodes[this->random() % node_count];
    owner_identity const to = one.leader->is_leader(at.now) ? from
                              : known.has_value() && this->chance(0.8)
                                  ? known->leader
                                  : other.identity;
    auto const answer = [this, from, asked, at](node & asked_node)
    {
        auto const grant =
            asked_node.leader->renew(asked, this->read(asked_node).now);
        auto const apply_grant = [this, grant, sent = at.now](node & asking)
        {
            clock_reading const now = this->read(asking);
            if (grant.current.has_value())
            {
                asking.leader->observe(*grant.current);
            }
            if (grant.from_leader)
            {
                asking.answered = now.now;
            }
            asking.owner->apply_grant(grant, sent, now);
        };
        if (asked_node.identity == from)
        {
            apply_grant(asked_node);
            return;
        }
        this->send(from, apply_grant);
    };
    if (to == from)
    {
        answer(one);
        return;
    }
    this->send(to, answer);
}

void owner_group::send_handovers(node & one)
{
    for (auto & handed : one.owner->take_handovers())
    {
        this->history.handed_over += static_cast<int>(handed.records.size());
        owner_identity const to = handed.to;
        this->send(to,
                   [this, handed = std::move(handed)](node & next)
                   {
                       next.owner->import_handover(handed, this->read(next));
                   });
    }
}

void owner_group::make_fault()
{
    std::size_t const index = this->random() % node_count;
    node & one = this->nodes[index];
    switch (this->random() % 6)
    {
    case 0:
        if (this->faults.pauses)
        {
            one.paused_until = this->events.now() +
                               this->between(milliseconds(100), seconds(20));
        }
        break;
    case 1:
        if (this->faults.crashes && one.is_up)
        {
            this->stop(index);
        }
        break;
    case 2:
        if (this->faults.outages)
        {
            this->platform_down_until =
                this->events.now() + this->between(seconds(0), seconds(15));
        }
        break;
    case 3:
        if (this->faults.cuts)
        {
            one.platform_cut_until =
                this->events.now() + this->between(seconds(0), seconds(30));
        }
        break;
    case 4:
        if (this->faults.cuts)
        {
            one.network_cut_until =
                this->events.now() + this->between(seconds(0), seconds(20));
        }
        break;
    default:
        if (this->faults.leaves && one.is_up)
        {
            one.owner->lease().leave(this->read(one).now);
            one.leader->leave();
            this->events.after(seconds(5),
                               [this, index, identity = one.identity]()
                               {
                                   if (this->find(identity) != nullptr)
                                   {
                                       this->stop(index);
                                   }
                               });
        }
    }
    this->events.after(this->between(milliseconds(200), seconds(4)),
                       [this]()
                       {
                           this->make_fault();
                       });
}

} // namespace endivehinge::tests
