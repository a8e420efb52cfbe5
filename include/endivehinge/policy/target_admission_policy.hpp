#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_POLICY_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_POLICY_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/policy/account_shares.hpp>
#include <endivehinge/policy/cold_rate_limiter.hpp>
#include <endivehinge/policy/concurrency_estimate.hpp>
#include <endivehinge/policy/request_urgency.hpp>
#include <endivehinge/policy/run_time_estimates.hpp>
#include <endivehinge/policy/slow_target_action.hpp>
#include <endivehinge/policy/slowdown_tracker.hpp>
#include <endivehinge/policy/stated_rate_limiter.hpp>
#include <endivehinge/policy/target_admission_options.hpp>
#include <endivehinge/policy/target_admission_verdict.hpp>
#include <endivehinge/policy/target_load.hpp>
#include <endivehinge/policy/weighted_account.hpp>

namespace endivehinge
{

/// @brief decides which requests a target runs, queues or refuses
///
/// Handles these load patterns:
/// - More requests than slots: requests queue by rank, then by target time.
///   Requests that can no longer meet their target time run after those that
///   can.
/// - A target slowed by noisy neighbours for a fraction of a second: a request
///   that starts then stays slow until it ends, so it is placed on another
///   target, or waits for the end of the slow period if that is sooner.
/// - A cold target: the request rate is limited to what it may receive. Under
///   overload its queue stays short. It is not treated as slow for being cold,
///   since that lasts for seconds and after a restart of the fleet no target is
///   faster.
/// - A queue longer than the time left allows: requests are refused
///   immediately instead of being held.
/// - A target in need that states how many requests a second it takes: requests
///   wait for the next start at that rate, or are refused if that is too late.
/// - Requests that were in flight when a target crashed, of which one may crash
///   this target too: they run one at a time, so that a crash shows which one.
/// - Overload for longer than a burst: only requests that can still meet their
///   target time run, since late requests would delay the next ones as well.
/// - One client account that sends a multiple of its usual load: within a rank,
///   requests run in the order of what their accounts used over the last
///   seconds, and a request of an account below its share displaces one of the
///   account furthest above. Requests without an account take the mean place
///   and neither displace others nor are displaced.
/// @note pure; not thread-safe, the owner serialises all calls
class target_admission_policy
{
public:
    explicit target_admission_policy(target_admission_options chosen = {});

    /// @brief sets the number of slots of the target
    /// @pre slots is at least 1
    void set_slots(std::uint32_t slots);

    /// @brief sets the end of the cold period and the request rate during it
    /// @param rate requests per second; 0: unlimited
    /// @param bound limit on the requests of any second during the period
    void set_cold(time_point until, double rate, cold_rate_bound const & bound);

    /// @brief records that the target stated not to be cold
    /// @param known_at not after the time at which the target stated it
    void confirm_warm(time_point known_at);

    /// @brief whether the target should be asked now whether it is cold,
    /// because its last statement covers few further requests
    [[nodiscard]] bool needs_cold_check(time_point now) const;

    /// @brief sets the request rate that the target states to take from all
    /// nodes together, in requests per second; no value: none is stated
    void set_stated_rate(std::optional<double> rate, time_point now);

    /// @brief records a slowdown reported by the target: its current run time
    /// relative to the normal one
    void set_slowdown(double factor, time_point now);

    /// @brief whether the caller must probe the target for its slowdown now;
    /// if so, the probe counts as sent
    [[nodiscard]] bool try_start_probe(time_point now);

    /// @brief records that a probe returned no slowdown
    /// @note call take_ready() afterwards
    void probe_failed(time_point now);

    /// @brief sets whether requests are admitted at all
    void set_open(bool open);

    /// @brief requests admission and queues the request unless it is refused
    /// @param route requests of the same route have similar run times
    /// @param slow_action what to do with the request if the target is slow
    /// @param is_suspect whether the request must not run beside another
    /// suspect
    /// @param account the client account of the request
    /// @note a waiting request may be able to start immediately: call
    /// take_ready() afterwards
    [[nodiscard]] target_admission_verdict
    offer(std::string const & route,
          request_urgency const & urgency,
          slow_target_action slow_action,
          time_point now,
          bool is_suspect = false,
          weighted_account const & account = {});

    /// @brief records the end of a started request
    /// @param failed whether the target failed the request
    /// @note call take_ready() afterwards
    void finish(admission_ticket ticket, bool failed, time_point now);

    /// @brief withdraws a waiting or started request
    /// @note call take_ready() afterwards
    void cancel(admission_ticket ticket);

    /// @brief removes the requests from the queue that start or are refused
    [[nodiscard]] std::vector<target_admission_verdict>
    take_ready(time_point now);

    /// @brief the load to publish to other nodes
    [[nodiscard]] target_load load(time_point now) const;

    /// @brief when to call take_ready() again even if no request ends before
    /// @return nothing if the queue is empty
    [[nodiscard]] std::optional<time_point> next_review(time_point now) const;

private:
    struct queued_request
    {
        admission_ticket ticket;
        std::string route;
        request_urgency urgency;
        slow_target_action slow_action = slow_target_action::start_or_refuse;
        time_point offered_at;
        bool is_suspect = false;
        weighted_account account;
    };

    enum class readiness
    {
        start,
        wait,
        decline,
        too_late,
    };

    struct running_request
    {
        std::string route;
        time_point started_at;
        // slowdown of the target when the request started
        double slowdown = 1;
        bool is_suspect = false;
        account_name account;
        // run time charged to the account at the start
        duration estimate{0};
        // requests that ran when it started, itself included
        std::size_t concurrency = 1;
        bool was_cold = false;
    };

    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] bool is_suspect_running() const;
    /// @brief expected time until all suspects before a new one have ended
    [[nodiscard]] duration suspect_wait(request_urgency const & urgency,
                                        time_point now) const;
    [[nodiscard]] bool can_start(time_point now);
    /// @brief time until the rate limits allow a number of starts
    [[nodiscard]] duration rate_wait(std::size_t requests,
                                     time_point now) const;
    /// @brief why a request that would have to wait too long is refused
    [[nodiscard]] admission_refusal capacity_refusal(time_point now) const;
    [[nodiscard]] readiness readiness_of(queued_request const & request,
                                         time_point now) const;
    [[nodiscard]] readiness readiness_while_slow(queued_request const & request,
                                                 time_point now) const;
    [[nodiscard]] bool is_overloaded(time_point now) const;
    [[nodiscard]] duration planned_run_time(std::string const & route,
                                            time_point now) const;
    /// @brief the run time that is assumed before any was measured
    [[nodiscard]] duration default_run_time(request_urgency const & urgency,
                                            time_point offered_at) const;
    /// @brief whether a request that starts at the given time is late. One that
    /// is late in any case on a cold target counts only if it waited too long
    [[nodiscard]] bool misses_target_time(std::string const & route,
                                          request_urgency const & urgency,
                                          time_point offered_at,
                                          time_point start) const;
    void update_queueing_since(time_point now);
    void refuse_unservable(std::vector<target_admission_verdict> & verdicts,
                           time_point now);
    /// @brief under overload, refuses requests that would be late since
    /// requests of other accounts start before them
    void refuse_overtaken(std::vector<target_admission_verdict> & verdicts,
                          time_point now);
    /// @brief expected time until a slot is free for a request, from the
    /// progress of the running ones
    [[nodiscard]] duration slot_wait(std::size_t requests_ahead,
                                     time_point now) const;
    [[nodiscard]] duration expected_wait(queued_request const & arrival,
                                         time_point now) const;
    /// @brief whether the request can be answered in time after the wait
    [[nodiscard]] bool is_servable(queued_request const & arrival,
                                   duration wait,
                                   time_point now) const;
    /// @brief refuses a waiting request of the account furthest above its
    /// share, if the arrival can be served then
    [[nodiscard]] bool displace_for(queued_request const & arrival,
                                    time_point now);
    [[nodiscard]] bool has_accounts() const;
    /// @brief virtual start times of the waiting requests, in their order in
    /// the queue, if requests of one account and rank run in this order
    [[nodiscard]] std::vector<double>
    queued_virtual_starts(time_point now) const;
    /// @brief virtual start time of a request behind those of its account and
    /// rank that wait
    [[nodiscard]] double virtual_start_of(queued_request const & arrival,
                                          time_point now) const;
    [[nodiscard]] bool runs_before(queued_request const & a,
                                   double virtual_start_of_a,
                                   queued_request const & b,
                                   double virtual_start_of_b,
                                   time_point now) const;
    [[nodiscard]] bool can_meet_target_time(queued_request const & request,
                                            time_point now) const;
    [[nodiscard]] std::vector<queued_request>::iterator
    next_queued(time_point now);
    void start(queued_request const & request, time_point now);
    [[nodiscard]] target_admission_verdict refuse(admission_ticket ticket,
                                                  admission_refusal reason,
                                                  duration wait) const;
    /// @brief refuses a request that the target could run if it had capacity
    [[nodiscard]] target_admission_verdict
    refuse_for_capacity(queued_request const & request,
                        admission_refusal reason,
                        duration wait,
                        time_point now) const;

    target_admission_options options;
    bool open = false;
    double failure_share = 0;
    cold_rate_limiter cold_limiter;
    stated_rate_limiter stated_limiter;
    slowdown_tracker slowdown_state;
    run_time_estimates run_times;
    // run times divided by the slowdown at the start of each request
    run_time_estimates base_run_times;
    concurrency_estimate concurrency;
    // since when all usable slots have been busy with requests in the queue,
    // apart from short interruptions
    std::optional<time_point> queueing_since;
    time_point last_queueing;
    std::uint64_t last_ticket = 0;
    std::vector<queued_request> waiting;
    // refusals of displaced requests, until take_ready() returns them
    std::vector<target_admission_verdict> displaced;
    account_shares shares;
    absl::flat_hash_map<admission_ticket, running_request> running;
};

} // namespace endivehinge

#endif
