#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_LIMITS_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_LIMITS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the limits of an idempotency table, and the assumed clock errors
struct idempotency_limits
{
    std::size_t keys = 100000;
    std::size_t answer_bytes = std::size_t{64} * 1024 * 1024;
    // reserved for the answer of each in-flight key
    std::size_t reserved_answer_bytes = std::size_t{16} * 1024;
    // validity window: how long a key and its answer are kept
    duration window = std::chrono::minutes(10);
    // how far a caller's clock may be ahead
    duration caller_clock_error = std::chrono::seconds(2);
    // how far a node's clock may be off, in either direction
    duration node_clock_error = std::chrono::milliseconds(500);

    /// @brief the smallest distance between a time and a later key time stamp
    ///        that proves, despite clock errors, that the key was first used
    ///        after that time
    [[nodiscard]] duration stamp_margin() const
    {
        return this->caller_clock_error + 2 * this->node_clock_error;
    }
};

} // namespace endivehinge

#endif
