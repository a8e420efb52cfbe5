#ifndef ENDIVEHINGE_CORE_FAILURE_HPP
#define ENDIVEHINGE_CORE_FAILURE_HPP

#include <string> // string

namespace endivehinge
{

/// @brief stable IDs of the kinds of failure; documented in docs/ERRORS.md
enum class failure_id
{
    none = 0,
    invalid_argument = 101,
    invalid_settings = 102,
    invalid_configuration = 103,
    invalid_message = 104,
    message_too_large = 105,
    connect_failed = 201,
    connection_lost = 202,
    timed_out = 203,
    cancelled = 204,
    not_found = 301,
    version_conflict = 302,
    store_unavailable = 303,
    rate_limited = 304,
    no_target = 401,
    overloaded = 402,
    deadline_too_near = 403,
    draining = 404,
    lease_expired = 405,
    stale_epoch = 406,
    fenced = 407,
    quarantined = 408,
    outcome_unknown = 409,
    key_reused = 410,
    retry_budget_spent = 411,
    target_died = 412,
    internal = 500,
};

/// @brief the stable name of an ID, as printed in refusals and logs
[[nodiscard]] char const * to_string(failure_id id);

/// @brief why an operation failed: the kind, the step and the peer
/// @note functions that return std::optional write the last failure to an
/// output
///       parameter of this type
struct failure
{
    failure_id id = failure_id::none;
    std::string step;
    std::string peer;
    std::string detail;

    /// @brief formats the failure as one line of text
    [[nodiscard]] std::string describe() const;
};

} // namespace endivehinge

#endif
