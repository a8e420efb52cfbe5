#ifndef ENDIVEHINGE_POLICY_START_WINDOW_HPP
#define ENDIVEHINGE_POLICY_START_WINDOW_HPP

#include <cstddef> // size_t
#include <deque>   // deque

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds the starts of requests within any window of a fixed length
/// @note pure; not thread-safe, the owner serialises all calls
class start_window
{
public:
    /// @param length length of the window, above 0
    explicit start_window(duration length);

    /// @brief sets the largest number of starts in any window, at least 1;
    /// keeps the starts of the past
    void set_capacity(std::size_t starts);

    /// @brief records that a request starts
    /// @pre now is not before the last recorded start
    void record_start(time_point now);

    /// @brief number of starts after a time, within the window before now; at
    /// most the capacity
    [[nodiscard]] std::size_t count_after(time_point since,
                                          time_point now) const;

    /// @brief time until a number of further requests may have started
    /// @return 0 if they may start immediately
    [[nodiscard]] duration time_until(std::size_t starts, time_point now) const;

private:
    duration window_length;
    std::size_t capacity = 1;
    // newest last, no more than the capacity
    std::deque<time_point> recent;
};

} // namespace endivehinge

#endif
