#include <endivehinge/detail/node/owner_locator.hpp>

#include <utility> // move

#include <endivehinge/detail/control/lease_codec.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr char const * object_kind = "assignments";
constexpr std::chrono::milliseconds ask_timeout(300);
// between two tries to learn the assignment of one service
constexpr std::chrono::milliseconds least_fetch_interval(200);
constexpr int greatest_asked = 2;

} // namespace

owner_locator::owner_locator(service_name own,
                             key_ownership const & keys,
                             member_directory const & directory,
                             object_store & platform,
                             control_client & calls,
                             clock const & source)
    : own_service(std::move(own))
    , ownership(keys)
    , members(directory)
    , store(platform)
    , client(calls)
    , time(source)
{
}

std::optional<owner_location> owner_locator::locate(
    service_name const & service, idempotency_key const & key, failure & reason)
{
    reason = {failure_id::no_target, "locate key owner", {}, {}};
    auto const current = this->find(service);
    auto const * const owner =
        current.has_value() ? owner_of(key, current->members) : nullptr;
    if (owner == nullptr)
    {
        reason.detail = "no assignment is known for the service";
        return std::nullopt;
    }
    member_snapshot const all = this->members.snapshot();
    for (auto const & one : *all)
    {
        if (one.name == owner->name && one.run == owner->incarnation_number)
        {
            return owner_location{one, current->number};
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
    auto & entry = this->known[service];
    bool const is_newer =
        entry.value.has_value() && entry.value->number > number;
    entry.is_doubted = entry.is_doubted || !is_newer;
}

std::optional<assignment> owner_locator::find(service_name const & service)
{
    if (service == this->own_service)
    {
        return this->ownership.current();
    }
    {
        absl::MutexLock lock(&this->mutex);
        auto & entry = this->known[service];
        time_point const now = this->time.now();
        bool const may_fetch = now - entry.fetched >= least_fetch_interval ||
                               !entry.value.has_value();
        if (!entry.is_doubted || !may_fetch)
        {
            return entry.value;
        }
        entry.fetched = now;
    }
    auto fetched = this->fetch(service);
    absl::MutexLock lock(&this->mutex);
    auto & entry = this->known[service];
    bool const is_newer =
        fetched.has_value() &&
        (!entry.value.has_value() || entry.value->number < fetched->number);
    entry.is_doubted = !fetched.has_value();
    if (is_newer)
    {
        entry.value = std::move(fetched);
    }
    return entry.value;
}

std::optional<assignment> owner_locator::fetch(service_name const & service)
{
    if (auto asked = this->ask_member(service); asked.has_value())
    {
        return asked;
    }
    failure reason;
    auto const object = this->store.get(object_kind, service.value(), reason);
    return object.has_value() ? assignment::from_text(object->value, reason)
                              : std::nullopt;
}

std::optional<assignment>
owner_locator::ask_member(service_name const & service)
{
    wire::lease_request question;
    question.set_service(service.value());
    int asked = 0;
    member_snapshot const all = this->members.snapshot();
    for (auto const & one : *all)
    {
        if (one.service != service || one.state != member_state::alive ||
            asked == greatest_asked)
        {
            continue;
        }
        ++asked;
        failure reason;
        auto const answer = this->client.renew_lease(
            one.control_address, question, ask_timeout, reason);
        if (answer.has_value() && answer->has_current())
        {
            return decode_grant(*answer).current;
        }
    }
    return std::nullopt;
}

} // namespace endivehinge::detail
