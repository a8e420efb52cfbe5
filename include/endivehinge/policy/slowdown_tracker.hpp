#ifndef ENDIVEHINGE_POLICY_SLOWDOWN_TRACKER_HPP
#define ENDIVEHINGE_POLICY_SLOWDOWN_TRACKER_HPP

#include <optional> // optional

#include <endivehinge/core/token_bucket.hpp>
#include <endivehinge/policy/target_admission_options.hpp>

namespace endivehinge
{

/// @brief whether a target is slowed by its neighbours now, and when to ask it
/// @note pure; thread safety: none, the owner serialises
class slowdown_tracker
{
public:
    explicit slowdown_tracker(target_admission_options const & chosen);

    /// @brief the target stated the time that work takes now, relative to the
    /// usual
    void heard(double factor, time_point now);

    /// @brief takes a probe out of the budget, where what was heard is too old
    /// and no probe is on its way
    /// @return whether the target should be asked now
    [[nodiscard]] bool try_start_probe(time_point now);

    /// @brief a probe had no answer that states a slowdown
    void probe_failed(time_point now);

    /// @brief whether what was heard decides: it is fresh, or cannot be had
    [[nodiscard]] bool is_decided(time_point now) const;

    /// @brief whether the target states its slowdown at all
    [[nodiscard]] bool is_stated() const;

    /// @brief the time that work takes, relative to the usual, as heard last
    [[nodiscard]] double factor() const;

    /// @brief whether the target is slow, as heard last
    [[nodiscard]] bool is_slow() const;

    /// @brief how much longer a slow period is expected to last
    /// @pre is_slow()
    [[nodiscard]] duration expected_remaining(time_point now) const;

    /// @brief the mean length of slow periods
    [[nodiscard]] duration mean_period() const;

    /// @brief when a slow period may have ended, or a probe has no answer
    [[nodiscard]] time_point next_review() const;

private:
    [[nodiscard]] bool is_fresh(time_point now) const;
    [[nodiscard]] bool is_probe_pending(time_point now) const;

    target_admission_options options;
    double slowdown = 1;
    bool stated = false;
    time_point heard_at;
    time_point slow_since;
    duration mean_slow_period;
    std::optional<time_point> probe_sent;
    time_point pause_ends;
    token_bucket probes;
};

} // namespace endivehinge

#endif
