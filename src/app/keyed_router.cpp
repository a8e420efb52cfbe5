#include <endivehinge/detail/node/keyed_router.hpp>

#include <utility> // move

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

namespace endivehinge::detail
{
namespace
{

constexpr duration refusal_retry_after = std::chrono::milliseconds(500);
// the owners of a service change within a few of these
constexpr absl::Duration between_owners = absl::Milliseconds(50);

// another owner, or the same one a little later, may take the request
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
    outcome last = outcome::rejected(
        {failure_id::no_target, "find key owner", {}, "no owner in time"},
        refusal_retry_after);
    while (this->parts.time.now() < keyed.deadline)
    {
        failure reason;
        auto const found =
            this->parts.locator.locate(keyed.service, *keyed.key, reason);
        if (found.has_value())
        {
            last = this->try_on_owner(*found, keyed);
            if (!may_have_moved(last))
            {
                return last;
            }
            this->parts.locator.doubt(keyed.service, found->number);
        }
        else
        {
            last = outcome::rejected(std::move(reason), refusal_retry_after);
        }
        absl::SleepFor(between_owners);
    }
    return last;
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
    hop.role = hop_role::own;
    hop.content = keyed;
    hop.try_id = this->parts.ids.next();
    return this->parts.remote.execute(found.owner, hop, -1).result;
}

} // namespace endivehinge::detail
