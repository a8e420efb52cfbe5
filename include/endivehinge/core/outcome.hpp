#ifndef ENDIVEHINGE_CORE_OUTCOME_HPP
#define ENDIVEHINGE_CORE_OUTCOME_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/http_message.hpp>

namespace endivehinge
{

/// @brief the three ways in which a request can end
enum class outcome_kind
{
    answered,      // a target gave a whole answer
    rejected,      // the request did not run and will not
    indeterminate, // it may have run
};

/// @brief the name of a kind, as the outcome header prints it
[[nodiscard]] char const * to_string(outcome_kind kind);

/// @brief how a request ended
struct outcome
{
    outcome_kind kind = outcome_kind::indeterminate;
    http_response answer; // where answered
    failure reason;       // where not answered
    duration retry_after{0};

    /// @brief a whole answer from a target
    [[nodiscard]] static outcome answered(http_response answer);

    /// @brief a refusal of a request that did not run and will not
    /// @param reason why
    /// @param retry_after when the caller may come back
    [[nodiscard]] static outcome rejected(failure reason, duration retry_after);

    /// @brief a request that may have run, with no answer
    [[nodiscard]] static outcome indeterminate(failure reason);
};

} // namespace endivehinge

#endif
