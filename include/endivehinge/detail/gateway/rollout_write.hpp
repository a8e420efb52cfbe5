#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_WRITE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_WRITE_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/policy/rollout_entry.hpp>

namespace endivehinge::detail
{

/// @brief outcome of a conditional write of a roll-out's status
enum class rollout_write_outcome
{
    written,
    conflict, // the store holds another version; nothing was written
    absent,   // the store holds no such order
    unknown,  // it may have been written; repeat it under the same version
};

/// @brief result of a conditional write of a roll-out's status
struct rollout_write_result
{
    rollout_write_outcome outcome = rollout_write_outcome::unknown;
    // what the store holds, if it was written or in conflict
    std::optional<rollout_entry> stored;
    // why the outcome is unknown
    std::string detail;
};

} // namespace endivehinge::detail

#endif
