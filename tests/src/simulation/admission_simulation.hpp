#ifndef ENDIVEHINGE_TESTS_SIMULATION_ADMISSION_SIMULATION_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_ADMISSION_SIMULATION_HPP

#include <algorithm>  // max
#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/policy/account_backoff.hpp>
#include <endivehinge/policy/placement_limit.hpp>
#include <endivehinge/policy/slow_target_rounds.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>
#include <endivehinge/policy/target_selector.hpp>

#include "event_queue.hpp"

namespace endivehinge::tests
{

/// @brief the targets and requests of an admission_simulation
struct admission_simulation_plan
{
    std::size_t targets = 3;
    // nodes that receive requests; each has its own view of the target loads
    std::size_t nodes = 8;
    std::uint32_t slots = 16;
    // run time on a target without slowdown
    duration run_time = std::chrono::milliseconds(40);
    // measured from the arrival of the request
    duration latency_target = std::chrono::milliseconds(250);
    duration time_limit = std::chrono::milliseconds(700);
    // one-way latency between two nodes, or between a node and its target
    duration hop_latency = std::chrono::milliseconds(1);
    // all targets are cold until then, at a stated rate in requests per second;
    // 0: not cold
    duration cold_until{0};
    double cold_rate = 0;
    cold_rate_bound cold_bound;
    // slowdown of a target, by the time since the start of the simulation
    std::function<double(std::size_t target, duration since)> slowdown =
        [](std::size_t, duration)
    {
        return 1.0;
    };
    // slowdown of a run that starts while over eight tenths of the slots are in
    // use, by the time since the start of the simulation
    std::function<double(duration since)> nearly_full_slowdown = [](duration)
    {
        return 1.0;
    };
};

/// @brief requests of one client account
struct account_load
{
    account_name name;
    // weight at the targets
    double weight = 1;
    double requests_per_second = 1;
    std::uint32_t rank = 1;
    // a refused request returns after this time, up to max_retries times
    duration retry_delay{0};
    std::uint32_t max_retries = 0;
};

/// @brief number of requests of one account
struct account_summary
{
    std::size_t sent = 0;
    std::size_t answered = 0;

    [[nodiscard]] double answered_share() const
    {
        return static_cast<double>(this->answered) /
               std::max(static_cast<double>(this->sent), 1.0);
    }
};

/// @brief number of requests by outcome
struct admission_simulation_summary
{
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    // no response before the time limit
    std::size_t unanswered = 0;
    // from the arrival to the refusal
    duration longest_refusal{0};
    // sum over the refused requests, from the arrival to the refusal
    duration refusal_time{0};
    // largest number of placements of a single request
    std::size_t max_placements = 0;

    [[nodiscard]] std::size_t answered() const
    {
        return this->on_time + this->late;
    }

    [[nodiscard]] duration mean_refusal() const
    {
        return this->refusal_time /
               std::max<std::int64_t>(static_cast<std::int64_t>(this->refused),
                                      1);
    }
};

/// @brief simulates the nodes and targets of a service on a virtual clock
///
/// Requests arrive at the nodes in turn and pass through the types that a node
/// uses: target_selector, slow_target_rounds and target_admission_policy.
/// @note deterministic for a given seed; not thread-safe
class admission_simulation
{
public:
    admission_simulation(admission_simulation_plan chosen, std::uint64_t seed);

    /// @brief schedules requests at a fixed interval
    void add_requests(duration from, duration to, duration interval);

    /// @brief schedules requests of an account at random times
    void
    add_account_requests(account_load const & load, duration from, duration to);

    /// @brief runs until no event is left
    void run();

    /// @brief outcome of the requests that arrived in [from, to)
    [[nodiscard]] admission_simulation_summary summary(duration from,
                                                       duration to) const;

    /// @brief requests of the account that arrived in [from, to); a request
    /// that returns after a refusal counts once
    [[nodiscard]] account_summary
    summary_of(account_name const & account, duration from, duration to) const;

    /// @brief number of requests that reached a node beside a target
    [[nodiscard]] std::size_t offers() const;

private:
    struct request_state
    {
        duration arrival{0};
        std::size_t node = 0;
        request_urgency urgency;
        slow_target_rounds rounds;
        placement_limit limit{time_point(), duration(0)};
        slow_target_action slow_action = slow_target_action::decline;
        absl::flat_hash_set<std::size_t> tried_targets;
        std::size_t placements = 0;
        bool refused = false;
        bool share_used = false;
        duration retry_after{0};
        std::optional<duration> ended_at;
        account_load account;
        std::uint32_t retries = 0;
    };

    using request_pointer = std::shared_ptr<request_state>;

    struct target_state
    {
        target_admission_policy policy;
        absl::flat_hash_map<admission_ticket, request_pointer> requests;
    };

    // last load of a target that a node received
    struct load_view
    {
        std::optional<target_load> load;
        duration updated_at{0};
        std::uint32_t sent_since = 0;
    };

    [[nodiscard]] time_point now() const;
    [[nodiscard]] double current_slowdown(std::size_t target) const;
    [[nodiscard]] std::optional<std::size_t>
    choose(request_state const & request);
    void arrive(request_pointer const & request);
    void place(request_pointer const & request);
    void refuse(request_pointer const & request);
    void offer(request_pointer const & request,
               std::size_t target,
               slow_target_action slow_action);
    void handle_refusal(request_pointer const & request,
                        std::size_t target,
                        target_admission_verdict const & verdict);
    void review(std::size_t target);
    void start(admission_ticket ticket, std::size_t target);
    void update_load_view(std::size_t node, std::size_t target);
    void finish_request(request_state & request, bool was_refused);

    admission_simulation_plan plan;
    target_selector selector;
    std::mt19937_64 random;
    event_queue events;
    std::vector<std::unique_ptr<target_state>> targets;
    // indexed by node, then by target
    std::vector<std::vector<load_view>> load_views;
    // indexed by node
    std::vector<account_backoff> backoffs;
    std::vector<request_pointer> requests;
    std::size_t offer_count = 0;
};

} // namespace endivehinge::tests

#endif
