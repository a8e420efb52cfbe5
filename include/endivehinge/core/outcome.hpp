#ifndef ENDIVEHINGE_CORE_OUTCOME_HPP
#define ENDIVEHINGE_CORE_OUTCOME_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/http_message.hpp>

namespace endivehinge
{

/// @brief possible outcomes of a request
enum class outcome_kind
{
    answered,      // a target returned a complete response
    rejected,      // the request did not run and will not
    indeterminate, // the request may have run
};

/// @brief the name of a kind, as used in the outcome header
[[nodiscard]] char const * to_string(outcome_kind kind);

/// @brief how a request ended
struct outcome
{
    outcome_kind kind = outcome_kind::indeterminate;
    http_response answer; // if answered
    failure reason;       // if not answered
    duration retry_after{0};

    /// @brief a complete response from a target
    [[nodiscard]] static outcome answered(http_response answer);

    /// @brief a refusal of a request that did not run and will not
    /// @param retry_after how long the caller should wait before a retry
    [[nodiscard]] static outcome rejected(failure reason, duration retry_after);

    /// @brief no response to a request that may have run
    [[nodiscard]] static outcome indeterminate(failure reason);
};

} // namespace endivehinge

#endif
