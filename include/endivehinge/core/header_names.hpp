#ifndef ENDIVEHINGE_CORE_HEADER_NAMES_HPP
#define ENDIVEHINGE_CORE_HEADER_NAMES_HPP

namespace endivehinge::header_names
{

// published ones //

/// @brief names a request that runs at most once
constexpr char const * idempotency_key = "Idempotency-Key";
/// @brief RFC 9218 urgency, `u=0` to `u=7`
constexpr char const * priority = "Priority";
/// @brief RFC 9110 seconds until a refused caller may come back
constexpr char const * retry_after = "Retry-After";

// this project's, towards callers and targets; see docs/CALLERS.md //

/// @brief names one request in answers, refusals and targets' records
constexpr char const * request_id = "Endivehinge-Request-Id";
/// @brief milliseconds that are left to answer
constexpr char const * timeout_ms = "Endivehinge-Timeout-Ms";
/// @brief answered, rejected or indeterminate
constexpr char const * outcome = "Endivehinge-Outcome";
/// @brief calls above this one in its chain
constexpr char const * depth = "Endivehinge-Depth";

// between nodes only //

/// @brief names one try of a request, for the outcome query
constexpr char const * try_id = "Endivehinge-Try-Id";
/// @brief the run of the node that a try was sent to
constexpr char const * sent_to_run = "Endivehinge-Sent-To-Run";
/// @brief 1 where an earlier try may have crashed its target
constexpr char const * suspect = "Endivehinge-Suspect";
/// @brief the part that the receiving node takes: `run` or `own`
constexpr char const * role = "Endivehinge-Role";
/// @brief the epoch under which a key owner dispatched
constexpr char const * epoch = "Endivehinge-Epoch";
/// @brief 1 where the request may run more than once
constexpr char const * repeatable = "Endivehinge-Repeatable";
/// @brief the service that the request is for
constexpr char const * service = "Endivehinge-Service";
/// @brief the failure behind a refusal: its number, step and detail
constexpr char const * failure = "Endivehinge-Failure";
/// @brief milliseconds until a refused request may be tried again
constexpr char const * retry_after_ms = "Endivehinge-Retry-After-Ms";
/// @brief the load of the answering node's target
constexpr char const * load = "Endivehinge-Load";

} // namespace endivehinge::header_names

#endif
