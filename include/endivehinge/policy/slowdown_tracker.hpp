#ifndef ENDIVEHINGE_POLICY_SLOWDOWN_TRACKER_HPP
#define ENDIVEHINGE_POLICY_SLOWDOWN_TRACKER_HPP

#include <optional> // optional

#include <endivehinge/core/token_bucket.hpp>
#include <endivehinge/policy/target_admission_options.hpp>

namespace endivehinge
{

/// @brief tracks the slowdown that a target reports and when to probe for it
///
/// The slowdown is the current run time of a request relative to its normal
/// run time. It rises while noisy neighbours slow the target.
/// @note pure; not thread-safe, the owner serialises all calls
class slowdown_tracker
{
public:
    explicit slowdown_tracker(target_admission_options const & chosen);

    /// @brief records a slowdown reported by the target
    /// @param cold whether the target is cold; its slowdown is then compared
    /// with the lowest one of the cold period, since being cold slows it for
    /// longer than a request can wait
    void update(double factor, bool cold, time_point now);

    /// @brief takes a probe from the probe budget if the reported slowdown has
    /// expired and no probe is pending
    /// @return whether the caller must send a probe now
    [[nodiscard]] bool try_start_probe(time_point now);

    /// @brief records that a probe returned no slowdown
    void probe_failed(time_point now);

    /// @brief whether admission may rely on the last reported slowdown: it is
    /// recent, or no newer one can be obtained
    [[nodiscard]] bool is_usable(time_point now) const;

    /// @brief whether the target has ever reported a slowdown
    [[nodiscard]] bool is_reported() const;

    /// @brief the last reported slowdown; 1 if there is none
    [[nodiscard]] double factor() const;

    /// @brief whether the last reported slowdown exceeds the slow threshold,
    /// relative to the slowdown that stems from being cold
    [[nodiscard]] bool is_slow() const;

    /// @brief expected remaining length of the current slow period
    /// @pre is_slow()
    [[nodiscard]] duration expected_remaining(time_point now) const;

    /// @brief mean length of slow periods
    [[nodiscard]] duration mean_slow_duration() const;

    /// @brief time of the next probe, or of the timeout of a pending one
    [[nodiscard]] time_point next_review() const;

private:
    void update_base(double factor, bool cold);
    [[nodiscard]] bool is_fresh(time_point now) const;
    [[nodiscard]] bool is_probe_pending(time_point now) const;

    target_admission_options options;
    double slowdown = 1;
    // slowdown without noisy neighbours: 1, or more while the target is cold
    double base_slowdown = 1;
    bool was_cold = false;
    bool reported = false;
    time_point updated_at;
    time_point slow_since;
    duration mean_slow_period;
    std::optional<time_point> probe_sent_at;
    time_point probe_backoff_end;
    token_bucket probe_budget;
};

} // namespace endivehinge

#endif
