#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_LIMITS_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_LIMITS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds on what an idempotency table holds, and on clocks
struct idempotency_limits
{
    std::size_t keys = 100000;
    std::size_t answer_bytes = std::size_t{64} * 1024 * 1024;
    // set aside for the answer of each key in flight
    std::size_t reserved_answer_bytes = std::size_t{16} * 1024;
    // how long a key and its answer are kept
    duration window = std::chrono::minutes(10);
    // by how much a caller's clock may be ahead
    duration caller_clock_error = std::chrono::seconds(2);
    // by how much a node's clock may be wrong
    duration node_clock_error = std::chrono::milliseconds(500);

    /// @brief a key stamped this much after a moment was first used after it
    [[nodiscard]] duration stamp_margin() const
    {
        return this->caller_clock_error + 2 * this->node_clock_error;
    }
};

} // namespace endivehinge

#endif
