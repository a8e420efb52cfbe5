#include <endivehinge/coordination/conditional_writer.hpp>

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge
{
namespace
{

// a call that was refused had no effect, any other failure may have
bool had_no_effect(failure_id id)
{
    return id == failure_id::rate_limited || id == failure_id::connect_failed ||
           id == failure_id::not_found;
}

failure conflict(std::string const & name, std::string const & winner)
{
    return {failure_id::version_conflict, "conditional write", name, winner};
}

failure
last_word(std::string const & name, bool maybe_written, failure const & last)
{
    if (maybe_written)
    {
        return {failure_id::outcome_unknown,
                "conditional write",
                name,
                absl::StrCat("the write may have taken effect; the last try: ",
                             last.describe())};
    }
    if (last.id == failure_id::version_conflict)
    {
        return conflict(name, "the value that won could not be read");
    }
    return last;
}

} // namespace

conditional_writer::conditional_writer(object_store & platform,
                                       retry_policy & waiting)
    : store(platform)
    , pause(waiting)
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
        bool const refused = reason.id == failure_id::version_conflict;
        maybe_written = maybe_written || !(refused || had_no_effect(reason.id));
        failure read_reason;
        auto const found = this->store.get(kind, name, read_reason);
        if (found.has_value() && found->value == value)
        {
            return found->version;
        }
        // a read that lags shows the expected version, or one before it, and
        // says nothing; only a later version shows who came first
        if (found.has_value() && found->version > expected)
        {
            reason = conflict(name, found->value);
            return std::nullopt;
        }
        if (!this->pause.wait(failures))
        {
            reason = last_word(name, maybe_written, reason);
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
        bool const refused = reason.id == failure_id::version_conflict;
        maybe_written = maybe_written || !(refused || had_no_effect(reason.id));
        failure read_reason;
        auto const found = this->store.get(kind, name, read_reason);
        bool const is_removed = (found.has_value() && found->removed) ||
                                read_reason.id == failure_id::not_found;
        if (is_removed)
        {
            return found.has_value() ? found->version : expected;
        }
        if (found.has_value() && found->version > expected)
        {
            reason = conflict(name, found->value);
            return std::nullopt;
        }
        if (!this->pause.wait(failures))
        {
            reason = last_word(name, maybe_written, reason);
            return std::nullopt;
        }
    }
}

} // namespace endivehinge
