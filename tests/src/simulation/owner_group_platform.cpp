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

void owner_group::call_platform(node & member)
{
    clock_reading const reading = this->read(member);
    bool const leader_responds =
        reading.now - member.last_response < seconds(2);
    auto const call = member.leader->next_call(reading.now, leader_responds);
    if (!call.has_value())
    {
        return;
    }
    owner_identity const caller = member.identity;
    this->events.after(this->random_duration(milliseconds(1), platform_delay),
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
    node const * const member = this->find(caller);
    return now >= this->platform_down_until && member != nullptr &&
           now >= member->platform_partition_until;
}

void owner_group::read_platform(owner_identity const & caller)
{
    ++this->history.platform_reads;
    bool const is_down = !this->reaches_platform(caller);
    stored_assignment const stored{this->stored_value,
                                   object_version(this->stored_version)};
    this->events.after(
        is_down ? platform_timeout
                : this->random_duration(milliseconds(1), platform_delay),
        [this, caller, stored, is_down]()
        {
            this->run_on(caller,
                         [this, stored, is_down](node & member)
                         {
                             time_point const now = this->read(member).now;
                             is_down ? member.leader->on_read_failed(now)
                                     : member.leader->on_read(stored, now);
                         });
        });
}

void owner_group::write_platform(owner_identity const & caller,
                                 store_call const & call)
{
    ++this->history.platform_writes;
    bool const is_down = !this->reaches_platform(caller);
    bool const is_lost = this->faults.lost_writes && this->random_chance(0.1);
    if (!is_down && !is_lost)
    {
        this->apply(caller, call, true);
        return;
    }
    // some of these writes take effect nevertheless, some of them late
    if (this->faults.lost_writes && this->random_chance(0.7))
    {
        this->events.after(this->random_duration(seconds(0), seconds(8)),
                           [this, caller, call]()
                           {
                               this->apply(caller, call, false);
                           });
    }
    this->events.after(platform_timeout,
                       [this, caller]()
                       {
                           this->run_on(caller,
                                        [this](node & member)
                                        {
                                            member.leader->on_written(
                                                write_result::unknown,
                                                object_version(),
                                                this->read(member).now);
                                        });
                       });
}

void owner_group::apply(owner_identity const & caller,
                        store_call const & call,
                        bool is_acknowledged)
{
    bool const version_matches = call.expected.value() == this->stored_version;
    if (version_matches)
    {
        this->stored_value = call.value;
        ++this->stored_version;
    }
    if (!is_acknowledged)
    {
        return;
    }
    object_version const version(this->stored_version);
    auto const result =
        version_matches ? write_result::done : write_result::conflict;
    this->events.after(this->random_duration(milliseconds(1), platform_delay),
                       [this, caller, result, version]()
                       {
                           this->run_on(
                               caller,
                               [this, result, version](node & member)
                               {
                                   member.leader->on_written(
                                       result, version, this->read(member).now);
                               });
                       });
}

} // namespace endivehinge::tests
