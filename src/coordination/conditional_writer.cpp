#include <endivehinge/coordination/conditional_writer.hpp>

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge
{
namespace
{

// A refused call had no effect. After any other failure, such as a timeout,
// the write may have been applied.
bool failed_without_effect(failure_id id)
{
    return id == failure_id::rate_limited || id == failure_id::connect_failed ||
           id == failure_id::not_found;
}

failure version_conflict_failure(std::string const & name,
                                 std::string const & current_value)
{
    return {
        failure_id::version_conflict, "conditional write", name, current_value};
}

failure final_failure(std::string const & name,
                      bool maybe_written,
                      failure const & last_failure)
{
    if (maybe_written)
    {
        return {failure_id::outcome_unknown,
                "conditional write",
                name,
                absl::StrCat("the write may have taken effect; last attempt: ",
                             last_failure.describe())};
    }
    if (last_failure.id == failure_id::version_conflict)
    {
        return version_conflict_failure(
            name, "another write came first; its value could not be read");
    }
    return last_failure;
}

} // namespace

conditional_writer::conditional_writer(object_store & object_api,
                                       retry_policy & retries)
    : store(object_api)
    , policy(retries)
{
}

std::optional<object_version> conditional_writer::put(std::string const & kind,
                                                      std::string const & name,
                                                      object_version expected,
                                                      std::string const & value,
                                                      failure & reason)
{
    bool maybe_written = false;
    for (int failures = 1;; ++failures)
    {
        if (auto const version =
                this->store.put(kind, name, expected, value, reason))
        {
            return version;
        }
        bool const is_conflict = reason.id == failure_id::version_conflict;
        maybe_written =
            maybe_written || !(is_conflict || failed_without_effect(reason.id));
        failure read_reason;
        auto const stored = this->store.get(kind, name, read_reason);
        if (stored.has_value() && stored->value == value)
        {
            return stored->version;
        }
        // A stale read returns the expected version or an older one and proves
        // nothing; only a later version proves that another write came first.
        if (stored.has_value() && stored->version > expected)
        {
            reason = version_conflict_failure(name, stored->value);
            return std::nullopt;
        }
        if (!this->policy.wait(failures))
        {
            reason = final_failure(name, maybe_written, reason);
            return std::nullopt;
        }
    }
}

std::optional<object_version>
conditional_writer::remove(std::string const & kind,
                           std::string const & name,
                           object_version expected,
                           failure & reason)
{
    bool maybe_written = false;
    for (int failures = 1;; ++failures)
    {
        if (auto const version =
                this->store.remove(kind, name, expected, reason))
        {
            return version;
        }
        bool const is_conflict = reason.id == failure_id::version_conflict;
        maybe_written =
            maybe_written || !(is_conflict || failed_without_effect(reason.id));
        failure read_reason;
        auto const stored = this->store.get(kind, name, read_reason);
        bool const is_removed = (stored.has_value() && stored->removed) ||
                                read_reason.id == failure_id::not_found;
        if (is_removed)
        {
            return stored.has_value() ? stored->version : expected;
        }
        if (stored.has_value() && stored->version > expected)
        {
            reason = version_conflict_failure(name, stored->value);
            return std::nullopt;
        }
        if (!this->policy.wait(failures))
        {
            reason = final_failure(name, maybe_written, reason);
            return std::nullopt;
        }
    }
}

} // namespace endivehinge
