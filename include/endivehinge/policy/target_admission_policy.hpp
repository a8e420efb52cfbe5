#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_POLICY_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_POLICY_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/policy/cold_rate_limiter.hpp>
#include <endivehinge/policy/request_urgency.hpp>
#include <endivehinge/policy/run_time_estimates.hpp>
#include <endivehinge/policy/slow_target_action.hpp>
#include <endivehinge/policy/slowdown_tracker.hpp>
#include <endivehinge/policy/target_admission_options.hpp>
#include <endivehinge/policy/target_admission_verdict.hpp>
#include <endivehinge/policy/target_load.hpp>

namespace endivehinge
{

/// @brief decides what the one way into a target runs, queues and refuses
///
/// Answers these load patterns: more requests than slots (queue by rank, then
/// by target time; those that can no longer be on time give way to those that
/// can), a target slowed by its neighbours for a fraction of a second (work
/// that starts then is slow to its end, so it goes elsewhere, or waits for the
/// end of the slow period where that is sooner), a cold target (a bound on each
/// second), a queue that outgrows the time left (refused at once, not held),
/// more work than can be run for longer than a burst (only what can still be
/// on time is run, since late runs push the next ones late as well).
/// @note pure; thread safety: none, the owner serialises
class target_admission_policy
{
public:
    explicit target_admission_policy(target_admission_options chosen = {});

    /// @brief the slots of the target
    /// @pre slots is at least 1
    void set_slots(std::uint32_t slots);

    /// @brief until when the target bears only a number of requests a second
    /// @param rate requests a second; 0: no bound
    void set_cold(time_point until, double rate);

    /// @brief the target stated the time that work takes now, relative to the
    /// usual
    void set_slowdown(double factor, time_point now);

    /// @brief whether the target should be asked for its slowdown now; then
    /// the probe counts as sent
    [[nodiscard]] bool try_start_probe(time_point now);

    /// @brief a probe had no answer that states a slowdown
    /// @note call take_ready after it
    void probe_failed(time_point now);

    /// @brief whether any request is taken
    void set_open(bool open);

    /// @brief asks to run a request
    /// @param route requests of one route take about the same time
    /// @param slow_target what to do while the target is slow
    /// @note a verdict to wait may change at once: call take_ready after it
    [[nodiscard]] target_admission_verdict
    offer(std::string const & route,
          request_urgency const & urgency,
          slow_target_action slow_target,
          time_point now);

    /// @brief a request that was started has ended
    /// @param failed the target failed it
    /// @note call take_ready after it
    void finish(admission_ticket ticket, bool failed, time_point now);

    /// @brief a request is withdrawn, waiting or started
    /// @note call take_ready after it
    void cancel(admission_ticket ticket);

    /// @brief requests that leave the queue: to start, or refused
    [[nodiscard]] std::vector<target_admission_verdict>
    take_ready(time_point now);

    /// @brief the load as other nodes should see it
    [[nodiscard]] target_load load() const;

    /// @brief when a request in the queue has to be looked at again
    [[nodiscard]] std::optional<time_point> next_review(time_point now) const;

private:
    struct queued
    {
        admission_ticket ticket;
        std::string route;
        request_urgency urgency;
        slow_target_action slow_target = slow_target_action::start_or_refuse;
        time_point offered;
    };

    enum class readiness
    {
        start,
        wait,
        decline,
        hopeless,
    };

    struct started
    {
        std::string route;
        time_point at;
        // the slowdown that it runs under
        double slowdown = 1;
    };

    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] bool has_room(time_point now);
    [[nodiscard]] readiness readiness_of(queued const & one,
                                         time_point now) const;
    [[nodiscard]] readiness readiness_while_slow(queued const & one,
                                                 time_point now) const;
    [[nodiscard]] bool is_overloaded(time_point now) const;
    [[nodiscard]] duration planned_run_time(std::string const & route,
                                            time_point now) const;
    void note_queue(time_point now);
    void refuse_late(std::vector<target_admission_verdict> & ready,
                     time_point now);
    [[nodiscard]] duration expected_wait(request_urgency const & urgency,
                                         time_point now) const;
    [[nodiscard]] bool
    is_before(queued const & a, queued const & b, time_point now) const;
    [[nodiscard]] bool can_be_on_time(queued const & one, time_point now) const;
    [[nodiscard]] std::vector<queued>::iterator next_queued(time_point now);
    void
    start(admission_ticket ticket, std::string const & route, time_point now);
    [[nodiscard]] target_admission_verdict refuse(admission_ticket ticket,
                                                  admission_refusal reason,
                                                  duration wait) const;

    target_admission_options options;
    std::uint32_t slots = 1;
    bool open = false;
    double failure_share = 0;
    cold_rate_limiter cold;
    slowdown_tracker slow;
    run_time_estimates run_times;
    // what they would be without the slowdown
    run_time_estimates usual_run_times;
    // since when requests have waited without a pause
    std::optional<time_point> queue_since;
    std::uint64_t last_ticket = 0;
    std::vector<queued> waiting;
    absl::flat_hash_map<admission_ticket, started> running;
};

} // namespace endivehinge

#endif
