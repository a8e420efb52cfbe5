#include <endivehinge/core/failure.hpp>

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge
{

char const * to_string(failure_id id)
{
    switch (id)
    {
    case failure_id::none:
        return "none";
    case failure_id::invalid_argument:
        return "invalid_argument";
    case failure_id::invalid_settings:
        return "invalid_settings";
    case failure_id::invalid_configuration:
        return "invalid_configuration";
    case failure_id::invalid_message:
        return "invalid_message";
    case failure_id::message_too_large:
        return "message_too_large";
    case failure_id::connect_failed:
        return "connect_failed";
    case failure_id::connection_lost:
        return "connection_lost";
    case failure_id::timed_out:
        return "timed_out";
    case failure_id::cancelled:
        return "cancelled";
    case failure_id::not_found:
        return "not_found";
    case failure_id::version_conflict:
        return "version_conflict";
    case failure_id::store_unavailable:
        return "store_unavailable";
    case failure_id::rate_limited:
        return "rate_limited";
    case failure_id::no_target:
        return "no_target";
    case failure_id::overloaded:
        return "overloaded";
    case failure_id::deadline_too_near:
        return "deadline_too_near";
    case failure_id::draining:
        return "draining";
    case failure_id::lease_expired:
        return "lease_expired";
    case failure_id::stale_epoch:
        return "stale_epoch";
    case failure_id::fenced:
        return "fenced";
    case failure_id::quarantined:
        return "quarantined";
    case failure_id::outcome_unknown:
        return "outcome_unknown";
    case failure_id::key_reused:
        return "key_reused";
    case failure_id::retry_budget_spent:
        return "retry_budget_spent";
    case failure_id::target_died:
        return "target_died";
    case failure_id::internal:
        return "internal";
    }
    return "internal";
}

std::string failure::describe() const
{
    std::string text = absl::StrCat(
        "[endivehinge.", static_cast<int>(this->id), "] ", to_string(this->id));
    if (!this->step.empty())
    {
        absl::StrAppend(&text, " at ", this->step);
    }
    if (!this->peer.empty())
    {
        absl::StrAppend(&text, " with ", this->peer);
    }
    if (!this->detail.empty())
    {
        absl::StrAppend(&text, ": ", this->detail);
    }
    return text;
}

} // namespace endivehinge
