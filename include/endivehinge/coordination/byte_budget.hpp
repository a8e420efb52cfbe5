#ifndef ENDIVEHINGE_COORDINATION_BYTE_BUDGET_HPP
#define ENDIVEHINGE_COORDINATION_BYTE_BUDGET_HPP

#include <algorithm> // min
#include <cstddef>   // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief token bucket that limits the bytes sent for one purpose
/// @note thread safety: none; for use on one thread
class byte_budget
{
public:
    /// @param bytes_per_second refill rate
    /// @param burst_bytes capacity of the bucket, which starts full
    byte_budget(double bytes_per_second, double burst_bytes)
        : refill_rate(bytes_per_second)
        , capacity(burst_bytes)
        , tokens(burst_bytes)
    {
    }

    /// @brief adds the bytes that may be sent for the time since the last call
    /// @param now not earlier than in any previous call
    void refill(time_point now)
    {
        std::chrono::duration<double> const elapsed = now - this->last_refill;
        this->tokens = std::min(
            this->capacity, this->tokens + this->refill_rate * elapsed.count());
        this->last_refill = now;
    }

    /// @brief number of bytes that may be sent now
    [[nodiscard]] std::size_t available() const
    {
        return this->tokens > 0 ? static_cast<std::size_t>(this->tokens) : 0;
    }

    /// @brief deducts bytes that were sent; the balance may become negative
    void spend(std::size_t bytes)
    {
        this->tokens -= static_cast<double>(bytes);
    }

private:
    double refill_rate;
    double capacity;
    double tokens;
    time_point last_refill;
};

} // namespace endivehinge

#endif
