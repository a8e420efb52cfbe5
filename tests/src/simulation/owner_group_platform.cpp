#include "owner_group.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds platform_delay(30);
constexpr milliseconds platform_timeout(2000);

} // namespace

void owner_group::call_platform(node & one)
{
    clock_reading const at = this->read(one);
    bool const answers = at.now - one.answered < seconds(2);
    auto const call = one.leader->next_call(at.now, answers);
    if (!call.has_value())
    {
        return;
    }
    owner_identity const caller = one.identity;
    this->events.after(this->between(milliseconds(1), platform_delay),
                       [this, caller, call]()
                       {
                           call->value.has_value()
                               ? this->write_platform(caller, *call)
                               : this->read_platform(caller);
                       });
}

bool owner_group::reaches_platform(owner_identity const & caller)
{
    duration const now = this->events.now();
    node const * const one = this->find(caller);
    return now >= this->platform_down_until && one != nullptr &&
           now >= one->platform_cut_until;
}

void owner_group::read_platform(owner_identity const & caller)
{
    ++this->history.platform_reads;
    bool const is_down = !this->reaches_platform(caller);
    stored_assignment const seen{this->object,
                                 object_version(this->object_number)};
    this->events.after(is_down ? platform_timeout
                               : this->between(milliseconds(1), platform_delay),
                       [this, caller, seen, is_down]()
                       {
                           this->at(caller,
                                    [this, seen, is_down](node & one)
                                    {
                                        time_point const now =
                                            this->read(one).now;
                                        is_down
                                            ? one.leader->on_read_failed(now)
                                            : one.leader->on_read(seen, now);
                                    });
                       });
}

void owner_group::write_platform(owner_identity const & caller,
                                 store_call const & call)
{
    ++this->history.platform_writes;
    bool const is_down = !this->reaches_platform(caller);
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
                                        one.leader->on_written(
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
    this->events.after(this->between(milliseconds(1), platform_delay),
                       [this, caller, result, version]()
                       {
                           this->at(
                               caller,
                               [this, result, version](node & one)
                               {
                                   one.leader->on_written(
                                       result, version, this->read(one).now);
                               });
                       });
}

} // namespace endivehinge::tests
