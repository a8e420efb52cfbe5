#ifndef ENDIVEHINGE_CORE_HEADER_NAMES_HPP
#define ENDIVEHINGE_CORE_HEADER_NAMES_HPP

namespace endivehinge::header_names
{

// published standards and drafts //

/// @brief identifies a request that runs at most once
constexpr char const * idempotency_key = "Idempotency-Key";
/// @brief RFC 9218 urgency, `u=0` to `u=7`
constexpr char const * priority = "Priority";
/// @brief RFC 9110 seconds until the caller may retry a refused request
constexpr char const * retry_after = "Retry-After";

// specific to endivehinge, for callers and targets; see docs/CALLERS.md //

/// @brief identifies a request in responses, refusals and targets' records
constexpr char const * request_id = "Endivehinge-Request-Id";
/// @brief milliseconds left until the response is due
constexpr char const * timeout_ms = "Endivehinge-Timeout-Ms";
/// @brief answered, rejected or indeterminate
constexpr char const * outcome = "Endivehinge-Outcome";
/// @brief number of calls above this one in its call chain
constexpr char const * depth = "Endivehinge-Depth";

// between nodes only //

/// @brief identifies one attempt of a request, for the outcome query
constexpr char const * try_id = "Endivehinge-Try-Id";
/// @brief the incarnation of the node that an attempt was sent to
constexpr char const * sent_to_run = "Endivehinge-Sent-To-Run";
/// @brief 1 if an earlier attempt may have crashed its target
constexpr char const * suspect = "Endivehinge-Suspect";
/// @brief the role of the receiving node: `run` executes the request, `own`
///        handles it as the key owner
constexpr char const * role = "Endivehinge-Role";
/// @brief the epoch in which a key owner dispatched the request
constexpr char const * epoch = "Endivehinge-Epoch";
/// @brief 1 if the request may run more than once
constexpr char const * repeatable = "Endivehinge-Repeatable";
/// @brief the service that the request is for
constexpr char const * service = "Endivehinge-Service";
/// @brief the reason for a refusal: failure number, step and detail
constexpr char const * failure = "Endivehinge-Failure";
/// @brief milliseconds until a refused request may be retried
constexpr char const * retry_after_ms = "Endivehinge-Retry-After-Ms";
/// @brief the load of the answering node's target
constexpr char const * load = "Endivehinge-Load";

} // namespace endivehinge::header_names

#endif
