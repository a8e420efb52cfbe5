#ifndef ENDIVEHINGE_TOOLS_COMMON_HISTORY_CHECKER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_HISTORY_CHECKER_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <common/history_record.hpp>

namespace endivehinge::tools
{

/// @brief how a history can break the promises
enum class violation_kind
{
    lost,    // a call without an end
    doubled, // a request that may not be repeated has two starts
    cut,     // an answer that is not whole or not the caller's own
    untrue,  // a request that was refused as not run has a start
};

/// @brief the name of a kind, as the closing line prints it
[[nodiscard]] char const * to_string(violation_kind kind);

/// @brief one broken promise
struct violation
{
    violation_kind kind = violation_kind::lost;
    // the call; for a doubled key without one: the key
    std::string call;
    std::string detail;
};

/// @brief what a history holds
struct history_verdict
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::vector<violation> violations;

    /// @brief how many violations are of a kind
    [[nodiscard]] std::size_t count(violation_kind kind) const;
};

/// @brief checks callers' and targets' records together
/// @param records in any order
/// @note pure
[[nodiscard]] history_verdict
check_history(std::vector<history_record> const & records);

} // namespace endivehinge::tools

#endif
