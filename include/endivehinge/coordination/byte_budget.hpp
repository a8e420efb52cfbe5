#ifndef ENDIVEHINGE_COORDINATION_BYTE_BUDGET_HPP
#define ENDIVEHINGE_COORDINATION_BYTE_BUDGET_HPP

#include <algorithm> // min
#include <cstddef>   // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief a token bucket that bounds the bytes sent for one purpose
/// @note thread safety: one thread
class byte_budget
{
public:
    /// @param bytes_per_second how fast the budget fills
    /// @param burst_bytes the most that it holds; full at first
    byte_budget(double bytes_per_second, double burst_bytes)
        : rate(bytes_per_second)
        , burst(burst_bytes)
        , tokens(burst_bytes)
    {
    }

    /// @brief lets time pass
    /// @param now never before an earlier one
    void refill(time_point now)
    {
        std::chrono::duration<double> const span = now - this->filled;
        this->tokens =
            std::min(this->burst, this->tokens + this->rate * span.count());
        this->filled = now;
    }

    /// @brief how many bytes may be sent now
    [[nodiscard]] std::size_t available() const
    {
        return this->tokens > 0 ? static_cast<std::size_t>(this->tokens) : 0;
    }

    /// @brief takes bytes that were sent
    void spend(std::size_t bytes)
    {
        this->tokens -= static_cast<double>(bytes);
    }

private:
    double rate;
    double burst;
    double tokens;
    time_point filled;
};

} // namespace endivehinge

#endif
