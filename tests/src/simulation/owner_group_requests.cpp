#include "owner_group.hpp"

#include <utility> // move

#include <absl/strings/str_cat.h>    // StrCat
#include <absl/strings/str_format.h> // StrFormat

namespace endivehinge::tests
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds check_interval(50);

std::vector<idempotency_key> make_probes()
{
    std::vector<idempotency_key> keys;
    keys.reserve(20);
    for (int number = 0; number < 20; ++number)
    {
        keys.emplace_back(absl::StrCat("probe ", number));
    }
    return keys;
}

} // namespace

// A caller sends several requests with a new key through random nodes.
void owner_group::make_request()
{
    unsigned int const number = ++this->next_key;
    wall_time const stamp =
        wall_clock_start + this->events.now() +
        this->random_duration(seconds(-2), milliseconds(1500));
    auto const ms =
        duration_cast<milliseconds>(stamp.time_since_epoch()).count();
    idempotency_key const key(
        this->random_chance(0.2)
            ? absl::StrCat("order ", number)
            : absl::StrFormat(
                  "%08x-%04x-7000-8000-%012x", ms >> 16, ms & 0xffff, number));
    this->submit({key, 6});
    this->events.after(
        this->random_duration(milliseconds(10), milliseconds(80)),
        [this]()
        {
            this->make_request();
        });
}

void owner_group::submit(key_use const & next)
{
    auto const & router = this->nodes[this->random() % node_count];
    auto const & current_assignment = router.owner->lease().current();
    auto const * const owner =
        current_assignment.has_value()
            ? owner_of(next.key, current_assignment->members)
            : nullptr;
    if (owner != nullptr)
    {
        this->send(
            *owner,
            [this, next](node & member)
            {
                clock_reading const reading = this->read(member);
                if (this->faults.pauses && this->random_chance(0.0005))
                {
                    // pause after the clocks were read, with the lock
                    // held
                    duration const pause_length =
                        this->random_duration(seconds(0), seconds(20));
                    member.paused_until = this->events.now() + pause_length;
                    this->run_on(member.identity,
                                 [this, next, reading](node & resumed)
                                 {
                                     this->execute(resumed, next, reading);
                                 });
                    return;
                }
                this->execute(member, next, reading);
            });
    }
    if (next.attempts_left > 0)
    {
        this->events.after(this->random_duration(milliseconds(50), seconds(5)),
                           [this, next]()
                           {
                               this->submit({next.key, next.attempts_left - 1});
                           });
    }
}

// The target accepts every request, however late, so that only the records can
// prevent a second execution.
void owner_group::execute(node & member,
                          key_use const & next,
                          clock_reading const & reading)
{
    auto const report =
        member.owner->begin(next.key, request_fingerprint(1), reading);
    if (report.refusal != owner_refusal::none)
    {
        ++this->history.rejected;
        return;
    }
    switch (report.key.decision)
    {
    case key_decision::started:
        break;
    case key_decision::finished:
        ++this->history.answered;
        return;
    default:
        ++this->history.indeterminate;
        return;
    }
    ++this->history.started;
    owner_identity const owner = member.identity;
    if (this->random_chance(0.1))
    {
        member.owner->finish(
            next.key, outcome::rejected({}, duration(0)), this->read(member));
        return;
    }
    ++this->history.executions[next.key];
    this->events.after(
        this->random_duration(milliseconds(1), milliseconds(300)),
        [this, owner, key = next.key]()
        {
            this->finish(owner, key);
        });
}

void owner_group::finish(owner_identity const & owner,
                         idempotency_key const & key)
{
    outcome result = this->random_chance(0.8)
                         ? outcome::answered({200, {}, "done"})
                         : outcome::indeterminate({});
    this->run_on(owner,
                 [this, key, result](node & member)
                 {
                     member.owner->finish(key, result, this->read(member));
                 });
}

void owner_group::check_leases()
{
    static auto const probes = make_probes();
    for (auto const & key : probes)
    {
        int lease_count = 0;
        for (auto const & member : this->nodes)
        {
            bool const has_lease =
                member.is_up && member.owner->lease()
                                    .lease_end(key, this->read(member).now)
                                    .has_value();
            lease_count += has_lease ? 1 : 0;
        }
        this->history.overlapping_leases += lease_count > 1 ? 1 : 0;
    }
    this->events.after(check_interval,
                       [this]()
                       {
                           this->check_leases();
                       });
}

} // namespace endivehinge::tests
