#include <endivehinge/detail/node/keyed_router.hpp>

#include <utility> // move

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

namespace endivehinge::detail
{
namespace
{

constexpr duration refusal_retry_after = std::chrono::milliseconds(500);
// the assignment of a new owner is available within this time
constexpr absl::Duration relocation_delay = absl::Milliseconds(50);

// Whether the outcome suggests that the key has a new owner, which may accept
// the request.
bool may_have_new_owner(outcome const & latest_outcome)
{
    if (latest_outcome.kind != outcome_kind::rejected)
    {
        return false;
    }
    switch (latest_outcome.reason.id)
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

keyed_router::keyed_router(node_name own_name,
                           keyed_router_dependencies router_dependencies)
    : self(std::move(own_name))
    , dependencies(router_dependencies)
{
}

outcome keyed_router::route(request const & keyed)
{
    failure reason;
    auto location =
        this->dependencies.locator.locate(keyed.service, *keyed.key, reason);
    if (!location.has_value())
    {
        return outcome::rejected(std::move(reason), refusal_retry_after);
    }
    outcome latest_outcome = this->execute_on_owner(*location, keyed);
    while (may_have_new_owner(latest_outcome) &&
           this->dependencies.time.now() < keyed.deadline)
    {
        auto new_location = this->locate_new_owner(keyed, *location);
        if (!new_location.has_value())
        {
            // The key has no new owner yet: the rejection that is returned
            // tells the caller when to retry.
            break;
        }
        location = std::move(new_location);
        latest_outcome = this->execute_on_owner(*location, keyed);
    }
    return latest_outcome;
}

// Returns the owner of the key if it differs from the one that rejected the
// request.
std::optional<owner_location>
keyed_router::locate_new_owner(request const & keyed,
                               owner_location const & refused)
{
    this->dependencies.locator.invalidate(keyed.service, refused.number);
    absl::SleepFor(relocation_delay);
    failure reason;
    auto new_location =
        this->dependencies.locator.locate(keyed.service, *keyed.key, reason);
    bool const is_different = new_location.has_value() &&
                              (new_location->owner.name != refused.owner.name ||
                               new_location->owner.incarnation_number !=
                                   refused.owner.incarnation_number ||
                               new_location->number != refused.number);
    return is_different ? std::move(new_location) : std::nullopt;
}

outcome keyed_router::execute_as_owner(request const & keyed)
{
    auto const dispatch = [this](request const & started)
    {
        return this->dependencies.router.route(started, -1);
    };
    return this->dependencies.ownership.execute_as_owner(keyed, dispatch);
}

outcome keyed_router::execute_on_owner(owner_location const & location,
                                       request const & keyed)
{
    if (location.owner.name == this->self)
    {
        return this->execute_as_owner(keyed);
    }
    hop_request hop;
    hop.role = hop_role::key_owner;
    hop.content = keyed;
    hop.try_id = this->dependencies.ids.next();
    return this->dependencies.remote.execute(location.owner, hop, -1).result;
}

} // namespace endivehinge::detail
