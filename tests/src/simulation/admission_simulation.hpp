#ifndef ENDIVEHINGE_TESTS_SIMULATION_ADMISSION_SIMULATION_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_ADMISSION_SIMULATION_HPP

#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/policy/slow_target_rounds.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>
#include <endivehinge/policy/target_selector.hpp>

#include "event_queue.hpp"

namespace endivehinge::tests
{

/// @brief the targets and requests of a admission_simulation
struct admission_simulation_plan
{
    std::size_t targets = 3;
    // nodes at which requests come in; each knows the loads that it heard
    std::size_t nodes = 8;
    std::uint32_t slots = 20;
    // of a run on a target at its usual speed
    duration work = std::chrono::milliseconds(40);
    // after the arrival
    duration latency_target = std::chrono::milliseconds(250);
    duration time_limit = std::chrono::milliseconds(700);
    // one way between two nodes, or a node and its target
    duration hop = std::chrono::milliseconds(1);
    // slowdown of a target at a time since the start
    std::function<double(std::size_t target, duration since)> slowdown =
        [](std::size_t, duration)
    {
        return 1.0;
    };
};

/// @brief how the requests of a replay ended
struct admission_simulation_summary
{
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    // the client left at its time limit
    std::size_t unanswered = 0;
    // from arrival to the refusal
    duration longest_refusal{0};
    // placements of one request
    std::size_t most_placements = 0;

    [[nodiscard]] std::size_t answered() const
    {
        return this->on_time + this->late;
    }
};

/// @brief drives the decision types of a service's nodes on a virtual clock
///
/// Every request comes in at a node of its own choice and goes through the
/// types that the node uses: target_selector, slow_target_rounds,
/// target_admission_policy.
/// @note one seed gives one run; thread safety: none
class admission_simulation
{
public:
    admission_simulation(admission_simulation_plan chosen, std::uint64_t seed);

    /// @brief requests at a steady rate
    void arrive(duration from, duration to, duration interval);

    /// @brief runs until nothing is left to happen
    void run();

    /// @brief how the requests that arrived in a span ended
    [[nodiscard]] admission_simulation_summary summary(duration from,
                                                       duration to) const;

private:
    struct request_state
    {
        duration arrival{0};
        std::size_t node = 0;
        request_urgency urgency;
        slow_target_rounds rounds;
        slow_target_action asked = slow_target_action::decline;
        absl::flat_hash_set<std::size_t> tried;
        std::size_t placements = 0;
        bool refused = false;
        std::optional<duration> ended;
    };

    using request_pointer = std::shared_ptr<request_state>;

    struct target_state
    {
        target_admission_policy gate;
        absl::flat_hash_map<admission_ticket, request_pointer> requests;
    };

    // what a node heard of a target last
    struct known_load
    {
        std::optional<target_load> load;
        duration heard{0};
        std::uint32_t sent_since = 0;
    };

    [[nodiscard]] time_point now() const;
    [[nodiscard]] double factor(std::size_t target) const;
    [[nodiscard]] std::optional<std::size_t>
    choose(request_state const & request);
    void place(request_pointer const & request);
    void offer(request_pointer const & request,
               std::size_t target,
               slow_target_action slow_target);
    void refused(request_pointer const & request,
                 std::size_t target,
                 admission_refusal reason);
    void review(std::size_t target);
    void start(admission_ticket ticket, std::size_t target);
    void hear(std::size_t node, std::size_t target);
    void end(request_state & request, bool is_refused);

    admission_simulation_plan plan;
    target_selector selector;
    std::mt19937_64 random;
    event_queue events;
    std::vector<std::unique_ptr<target_state>> targets;
    // of each node, one for each target
    std::vector<std::vector<known_load>> known;
    std::vector<request_pointer> requests;
};

} // namespace endivehinge::tests

#endif
