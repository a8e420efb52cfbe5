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
constexpr milliseconds platform_timeout(2000);
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

moment owner_group::read(node const & one) const
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
    one.keeper = std::make_unique<lease_keeper>(one.identity, timing);
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
    moment const at = this->read(one);
    if (at.now < one.owner->lease().next_renewal())
    {
        return;
    }
    auto const asked = one.owner->lease().make_renewal(at.now);
    owner_identity const from = one.identity;
    auto const & known = one.keeper->current();
    // without a keeper, any other node may know who it is
    auto const & other = this->nodes[this->random() % node_count];
    owner_identity const to = one.keeper->is_keeper(at.now) ? from
                              : known.has_value() && this->chance(0.8)
                                  ? known->keeper
                                  : other.identity;
    auto const answer = [this, from, asked, at](node & asked_node)
    {
        auto const grant =
            asked_node.keeper->renew(asked, this->read(asked_node).now);
        auto const take = [this, grant, sent = at.now](node & asking)
        {
            moment const now = this->read(asking);
            if (grant.current.has_value())
            {
                asking.keeper->hear(*grant.current);
            }
            if (grant.from_keeper)
            {
                asking.answered = now.now;
            }
            asking.owner->take(grant, sent, now);
        };
        if (asked_node.identity == from)
        {
            take(asked_node);
            return;
        }
        this->send(from, take);
    };
    if (to == from)
    {
        answer(one);
        return;
    }
    this->send(to, answer);
}

void owner_group::call_platform(node & one)
{
    moment const at = this->read(one);
    bool const answers = at.now - one.answered < seconds(2);
    auto const call = one.keeper->next_call(at.now, answers);
    if (!call.has_value())
    {
        return;
    }
    owner_identity const caller = one.identity;
    this->events.after(this->between(milliseconds(1), network_delay),
                       [this, caller, call]()
                       {
                           call->value.has_value()
                               ? this->write_platform(caller, *call)
                               : this->read_platform(caller);
                       });
}

void owner_group::read_platform(owner_identity const & caller)
{
    ++this->history.platform_reads;
    bool const is_down = this->events.now() < this->platform_down_until;
    stored_assignment const seen{this->object,
                                 object_version(this->object_number)};
    this->events.after(is_down ? platform_timeout
                               : this->between(milliseconds(1), network_delay),
                       [this, caller, seen, is_down]()
                       {
                           this->at(caller,
                                    [this, seen, is_down](node & one)
                                    {
                                        time_point const now =
                                            this->read(one).now;
                                        is_down
                                            ? one.keeper->on_read_failed(now)
                                            : one.keeper->on_read(seen, now);
                                    });
                       });
}

void owner_group::write_platform(owner_identity const & caller,
                                 store_call const & call)
{
    ++this->history.platform_writes;
    bool const is_down = this->events.now() < this->platform_down_until;
    bool const is_lost = this->faults.lost_writes && this->chance(0.1);
    if (!is_down && !is_lost)
    {
        this->apply(caller, call, true);
        return;
    }
    // some take effect all the same, some of them late
    if (this->faults.lost_writes && this->chance(0.7))
    {
        this->events.after(this->between(seconds(0), seconds(8)),
                           [this, caller, call]()
                           {
                               this->apply(caller, call, false);
                           });
    }
    this->events.after(platform_timeout,
                       [this, caller]()
                       {
                           this->at(caller,
                                    [this](node & one)
                                    {
                                        one.keeper->on_written(
                                            write_result::unknown,
                                            object_version(),
                                            this->read(one).now);
                                    });
                       });
}

void owner_group::apply(owner_identity const & caller,
                        store_call const & call,
                        bool tells)
{
    bool const fits = call.expected.value() == this->object_number;
    if (fits)
    {
        this->object = call.value;
        ++this->object_number;
    }
    if (!tells)
    {
        return;
    }
    object_version const version(this->object_number);
    auto const result = fits ? write_result::done : write_result::conflict;
    this->events.after(this->between(milliseconds(1), network_delay),
                       [this, caller, result, version]()
                       {
                           this->at(
                               caller,
                               [this, result, version](node & one)
                               {
                                   one.keeper->on_written(
                                       result, version, this->read(one).now);
                               });
                       });
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
                       next.owner->receive(handed, this->read(next));
                   });
    }
}

void owner_group::make_fault()
{
    std::size_t const index = this->random() % node_count;
    node & one = this->nodes[index];
    switch (this->random() % 4)
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
    default:
        if (this->faults.leaves && one.is_up)
        {
            one.owner->lease().leave(this->read(one).now);
            one.keeper->leave();
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
