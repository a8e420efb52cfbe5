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

// a caller uses a new key some times over, through whatever node
void owner_group::make_request()
{
    unsigned int const number = ++this->next_key;
    wall_time const stamp = wall_start + this->events.now() +
                            this->between(seconds(-2), milliseconds(1500));
    auto const ms =
        duration_cast<milliseconds>(stamp.time_since_epoch()).count();
    idempotency_key const key(
        this->chance(0.2)
            ? absl::StrCat("order ", number)
            : absl::StrFormat(
                  "%08x-%04x-7000-8000-%012x", ms >> 16, ms & 0xffff, number));
    this->offer({key, 6});
    this->events.after(this->between(milliseconds(10), milliseconds(80)),
                       [this]()
                       {
                           this->make_request();
                       });
}

void owner_group::offer(use const & next)
{
    auto const & guide = this->nodes[this->random() % node_count];
    auto const & known = guide.owner->lease().current();
    auto const * const owner =
        known.has_value() ? owner_of(next.key, known->members) : nullptr;
    if (owner != nullptr)
    {
        this->send(*owner,
                   [this, next](node & one)
                   {
                       clock_reading const at = this->read(one);
                       if (this->faults.pauses && this->chance(0.0005))
                       {
                           // paused with the clocks read, the lock held
                           duration const span =
                               this->between(seconds(0), seconds(20));
                           one.paused_until = this->events.now() + span;
                           this->at(one.identity,
                                    [this, next, at](node & same)
                                    {
                                        this->decide(same, next, at);
                                    });
                           return;
                       }
                       this->decide(one, next, at);
                   });
    }
    if (next.tries_left > 0)
    {
        this->events.after(this->between(milliseconds(50), seconds(5)),
                           [this, next]()
                           {
                               this->offer({next.key, next.tries_left - 1});
                           });
    }
}

// the target takes whatever comes, however late, to show that the records
// alone keep a key from running twice
void owner_group::decide(node & one, use const & next, clock_reading const & at)
{
    auto const report = one.owner->begin(next.key, request_fingerprint(1), at);
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
    owner_identity const by = one.identity;
    if (this->chance(0.1))
    {
        one.owner->finish(
            next.key, outcome::rejected({}, duration(0)), this->read(one));
        return;
    }
    ++this->history.runs[next.key];
    this->events.after(this->between(milliseconds(1), milliseconds(300)),
                       [this, by, key = next.key]()
                       {
                           this->finish(by, key);
                       });
}

void owner_group::finish(owner_identity const & by, idempotency_key const & key)
{
    outcome result = this->chance(0.8) ? outcome::answered({200, {}, "done"})
                                       : outcome::indeterminate({});
    this->at(by,
             [this, key, result](node & one)
             {
                 one.owner->finish(key, result, this->read(one));
             });
}

void owner_group::check_leases()
{
    static auto const probes = make_probes();
    for (auto const & key : probes)
    {
        int holders = 0;
        for (auto const & one : this->nodes)
        {
            bool const holds =
                one.is_up && one.owner->lease()
                                 .lease_end(key, this->read(one).now)
                                 .has_value();
            holders += holds ? 1 : 0;
        }
        this->history.shared_leases += holders > 1 ? 1 : 0;
    }
    this->events.after(check_interval,
                       [this]()
                       {
                           this->check_leases();
                       });
}

} // namespace endivehinge::tests
