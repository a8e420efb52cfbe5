#ifndef ENDIVEHINGE_DETAIL_PROCESS_STOP_SIGNAL_HPP
#define ENDIVEHINGE_DETAIL_PROCESS_STOP_SIGNAL_HPP

namespace endivehinge::detail
{

/// @brief waits for SIGTERM and SIGINT in one thread
/// @note create it before any other thread, so that all inherit the mask
class stop_signal
{
public:
    /// @brief blocks the signals in this thread and those it starts
    stop_signal();

    /// @brief waits for the first signal
    /// @return its number
    /// @note thread safety: one thread
    [[nodiscard]] int wait() const;

    /// @brief lets the next signal end the process at once
    /// @note thread safety: one thread
    void end_on_next() const;
};

} // namespace endivehinge::detail

#endif
