#include <endivehinge/detail/node/keyed_router.hpp>

#include <utility> // move

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

namespace endivehinge::detail
{
namespace
{

constexpr duration refusal_retry_after = std::chrono::milliseconds(500);
// the news of another owner comes within this time
constexpr absl::Duration before_second_look = absl::Milliseconds(50);

// another owner may take the request
bool may_have_moved(outcome const & last)
{
    if (last.kind != outcome_kind::rejected)
    {
        return false;
    }
    switch (last.reason.id)
    {
    case failure_id::lease_expired:
    case failure_id::stale_epoch:
    case failure_id::connect_failed:
    case failure_id::fenced:
        return true;
    default:
        return false;
    }
}

} // namespace

keyed_router::keyed_router(node_name name, keyed_router_parts given)
    : self(std::move(name))
    , parts(given)
{
}

outcome keyed_router::route(request const & keyed)
{
    failure reason;
    auto found = this->parts.locator.locate(keyed.service, *keyed.key, reason);
    if (!found.has_value())
    {
        return outcome::rejected(std::move(reason), refusal_retry_after);
    }
    outcome last = this->try_on_owner(*found, keyed);
    while (may_have_moved(last) && this->parts.time.now() < keyed.deadline)
    {
        auto next = this->look_again(keyed, *found);
        if (!next.has_value())
        {
            // nobody owns the key now: the caller is told when to come back
            break;
        }
        found = std::move(next);
        last = this->try_on_owner(*found, keyed);
    }
    return last;
}

// another owner than the one that refused, if there is one by now
std::optional<owner_location>
keyed_router::look_again(request const & keyed, owner_location const & refused)
{
    this->parts.locator.invalidate(keyed.service, refused.number);
    absl::SleepFor(before_second_look);
    failure reason;
    auto next = this->parts.locator.locate(keyed.service, *keyed.key, reason);
    bool const is_other =
        next.has_value() && (next->owner.name != refused.owner.name ||
                             next->owner.run != refused.owner.run ||
                             next->number != refused.number);
    return is_other ? std::move(next) : std::nullopt;
}

outcome keyed_router::execute_as_owner(request const & keyed)
{
    auto const dispatch = [this](request const & started)
    {
        return this->parts.router.route(started, -1);
    };
    return this->parts.ownership.execute_as_owner(keyed, dispatch);
}

outcome keyed_router::try_on_owner(owner_location const & found,
                                   request const & keyed)
{
    if (found.owner.name == this->self)
    {
        return this->execute_as_owner(keyed);
    }
    hop_request hop;
    hop.role = hop_role::key_owner;
    hop.content = keyed;
    hop.try_id = this->parts.ids.next();
    return this->parts.remote.execute(found.owner, hop, -1).result;
}

} // namespace endivehinge::detail
