#ifndef ENDIVEHINGE_POLICY_CONCURRENCY_LIMIT_HPP
#define ENDIVEHINGE_POLICY_CONCURRENCY_LIMIT_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how fast a limit grows in slow start
enum class slow_start_pace
{
    cautious, // by one a window: the target says that it is cold
    quick,    // twofold a window
};

/// @brief which of its mechanisms a limit uses
struct concurrency_limit_options
{
    // start small and grow on evidence
    bool slow_start = true;
};

/// @brief how many requests may run at a target at once
///
/// Starts small for a new run, a cold target, or one that has suddenly become
/// slow, and grows by windows of answers in time, each compared with the
/// lowest mean latency known. Then it is the slots, less what sheds and
/// failures have taken lately.
/// @note thread safety: none; the owner serialises
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options chosen = {});

    /// @brief takes in how many requests the target runs at once
    void set_slots(std::uint32_t announced);

    /// @brief forgets what was measured and starts small
    void restart(slow_start_pace growth);

    /// @brief changes the growth of a slow start under way
    void set_pace(slow_start_pace growth);

    /// @brief takes in an answer
    /// @param latency from start to answer
    /// @param in_flight those running when it ended, itself included
    /// @param in_time whether it met its deadline
    void record(duration latency, std::uint32_t in_flight, bool in_time);

    /// @brief takes in a run that the target shed or failed
    void back_off();

    /// @brief the limit: at least 1, at most the slots
    [[nodiscard]] std::uint32_t value() const;

    /// @brief mean latency of the last answers; 0: none yet
    [[nodiscard]] duration recent_latency() const;

    /// @brief the baseline: lowest mean latency known; 0: none yet
    [[nodiscard]] duration low_latency() const;

    /// @brief whether the target has still to show what it can bear
    [[nodiscard]] bool in_slow_start() const;

private:
    struct window
    {
        std::uint32_t count = 0;
        std::uint32_t peak_in_flight = 0;
        double latency_sum = 0;
        bool all_in_time = true;
    };

    void close_window();
    void follow_low(double mean);
    void grow_from_start(double mean);
    void follow_steady(double mean);
    void clamp();
    [[nodiscard]] bool is_slower(double mean, double factor) const;
    [[nodiscard]] bool was_used() const;

    concurrency_limit_options options;
    std::uint32_t slots = 1;
    double limit = 1;
    double recent = 0; // nanoseconds
    double low = 0;    // nanoseconds
    bool slow_starting = true;
    slow_start_pace pace = slow_start_pace::quick;
    window open;
};

} // namespace endivehinge

#endif
