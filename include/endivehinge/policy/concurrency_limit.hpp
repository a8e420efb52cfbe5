#ifndef ENDIVEHINGE_POLICY_CONCURRENCY_LIMIT_HPP
#define ENDIVEHINGE_POLICY_CONCURRENCY_LIMIT_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief growth of a concurrency limit during slow start
enum class slow_start_growth
{
    linear,      // by one per window, for a target announced as cold
    exponential, // doubles with each window
};

/// @brief mechanisms of a concurrency_limit
struct concurrency_limit_options
{
    // start with a low limit and raise it while latency stays low
    bool slow_start = true;
};

/// @brief adaptive limit of the requests that run at a target concurrently
///
/// Slow start applies to a new incarnation, a cold target, and a target whose
/// latency rises sharply. The limit grows after each window of responses that
/// met their deadlines and whose mean latency is close to the baseline, a
/// slowly rising minimum of the windows' means. After slow start the limit is
/// the number of slots, reduced by recent load shedding and failures.
/// @note thread safety: none; the owner serialises calls
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options initial_options = {});

    /// @brief sets the number of requests that the target runs concurrently
    void set_slots(std::uint32_t announced_slots);

    /// @brief discards all measurements and enters slow start
    void restart(slow_start_growth new_growth);

    /// @brief changes the growth during slow start
    void set_growth(slow_start_growth new_growth);

    /// @brief records a response
    /// @param latency time from the start of the request to its response
    /// @param in_flight requests running at its end, including itself
    /// @param in_time whether the response met its deadline
    void record(duration latency, std::uint32_t in_flight, bool in_time);

    /// @brief lowers the limit after a request that the target shed or failed
    void back_off();

    /// @brief the current limit, between 1 and the number of slots
    [[nodiscard]] std::uint32_t value() const;

    /// @brief moving mean latency of recent responses; 0 before the first
    [[nodiscard]] duration recent_latency() const;

    /// @brief slowly rising minimum of the windows' mean latencies; 0 before
    /// the first window ends
    [[nodiscard]] duration baseline_latency() const;

    /// @brief whether slow start is in progress
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
    void update_baseline(double mean);
    void adjust_in_slow_start(double mean);
    void adjust_in_steady_state(double mean);
    void clamp();
    [[nodiscard]] bool is_slower(double mean, double factor) const;
    [[nodiscard]] bool limit_was_reached() const;

    concurrency_limit_options options;
    std::uint32_t slots = 1;
    double limit = 1;
    double recent_ns = 0;
    double baseline_ns = 0;
    bool slow_starting = true;
    slow_start_growth growth = slow_start_growth::exponential;
    window current_window;
};

} // namespace endivehinge

#endif
