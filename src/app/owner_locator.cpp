#include <endivehinge/detail/node/owner_locator.hpp>

#include <utility> // move

#include <endivehinge/detail/control/lease_codec.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr char const * object_kind = "assignments";
constexpr std::chrono::milliseconds query_timeout(300);
// between two fetches of the assignment of the same service
constexpr std::chrono::milliseconds min_fetch_interval(200);
constexpr int max_queried_members = 2;

} // namespace

owner_locator::owner_locator(service_name service_of_node,
                             key_ownership const & local_ownership,
                             member_directory const & member_list,
                             object_store & assignment_store,
                             control_client & rpc_client,
                             clock const & clock_source)
    : own_service(std::move(service_of_node))
    , ownership(local_ownership)
    , members(member_list)
    , store(assignment_store)
    , client(rpc_client)
    , time(clock_source)
{
}

std::optional<owner_location> owner_locator::locate(
    service_name const & service, idempotency_key const & key, failure & reason)
{
    reason = {failure_id::no_target, "locate key owner", {}, {}};
    auto const current = this->current_assignment(service);
    auto const * const owner =
        current.has_value() ? owner_of(key, current->members) : nullptr;
    if (owner == nullptr)
    {
        reason.detail = "no assignment is known for the service";
        return std::nullopt;
    }
    member_snapshot const all = this->members.snapshot();
    for (auto const & candidate : *all)
    {
        if (candidate.name == owner->name &&
            candidate.incarnation_number == owner->incarnation_number)
        {
            return owner_location{candidate, current->number};
        }
    }
    this->invalidate(service, current->number);
    reason.peer = owner->name.value();
    reason.detail = "the key owner is not there";
    return std::nullopt;
}

void owner_locator::invalidate(service_name const & service, epoch number)
{
    absl::MutexLock lock(&this->mutex);
    auto & entry = this->cached_assignments[service];
    bool const is_newer =
        entry.value.has_value() && entry.value->number > number;
    entry.is_stale = entry.is_stale || !is_newer;
}

std::optional<assignment>
owner_locator::current_assignment(service_name const & service)
{
    if (service == this->own_service)
    {
        return this->ownership.current();
    }
    {
        absl::MutexLock lock(&this->mutex);
        auto & entry = this->cached_assignments[service];
        time_point const now = this->time.now();
        bool const may_fetch =
            now - entry.last_fetch_time >= min_fetch_interval ||
            !entry.value.has_value();
        if (!entry.is_stale || !may_fetch)
        {
            return entry.value;
        }
        entry.last_fetch_time = now;
    }
    auto fetched = this->fetch_assignment(service);
    absl::MutexLock lock(&this->mutex);
    auto & entry = this->cached_assignments[service];
    bool const is_newer =
        fetched.has_value() &&
        (!entry.value.has_value() || entry.value->number < fetched->number);
    entry.is_stale = !fetched.has_value();
    if (is_newer)
    {
        entry.value = std::move(fetched);
    }
    return entry.value;
}

std::optional<assignment>
owner_locator::fetch_assignment(service_name const & service)
{
    if (auto queried = this->query_members(service); queried.has_value())
    {
        return queried;
    }
    failure reason;
    auto const object = this->store.get(object_kind, service.value(), reason);
    return object.has_value() ? assignment::from_text(object->value, reason)
                              : std::nullopt;
}

std::optional<assignment>
owner_locator::query_members(service_name const & service)
{
    wire::lease_request query;
    query.set_service(service.value());
    int queried = 0;
    member_snapshot const all = this->members.snapshot();
    for (auto const & candidate : *all)
    {
        if (candidate.service != service ||
            candidate.state != member_state::alive ||
            queried == max_queried_members)
        {
            continue;
        }
        ++queried;
        failure reason;
        auto const response = this->client.renew_lease(
            candidate.control_address, query, query_timeout, reason);
        if (response.has_value() && response->has_current())
        {
            return decode_grant(*response).current;
        }
    }
    return std::nullopt;
}

} // namespace endivehinge::detail
