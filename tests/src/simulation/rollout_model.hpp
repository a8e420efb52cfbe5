#ifndef ENDIVEHINGE_TESTS_SIMULATION_ROLLOUT_MODEL_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_ROLLOUT_MODEL_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <memory>   // shared_ptr
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/policy/rollout_coordinator.hpp>
#include <endivehinge/policy/rollout_gate.hpp>
#include <endivehinge/policy/rollout_version_filter.hpp>
#include <simulation/event_queue.hpp>

namespace endivehinge::tests
{

/// @brief in which way responses are bad
struct rollout_fault
{
    double failure_share = 0;
    double run_time_factor = 1;
    // from the start of the target
    duration begins_after{0};
    // only if the target is loaded like an old one
    bool under_load_only = false;
    // only on this route; empty: on all
    std::string route;
};

/// @brief a roll-out to play
struct rollout_plan
{
    std::uint64_t seed = 1;
    double requests_per_second = 200;
    std::size_t old_nodes = 4;
    std::size_t new_nodes = 4;
    rollout_order order;
    // start of the new targets, after the order; negative: before it
    duration new_start = std::chrono::milliseconds(500);
    rollout_fault new_version;
    // of one new target
    rollout_fault first_new_target;
    // of all targets, within a period since the order
    rollout_fault all_targets;
    duration shared_begin{0};
    duration shared_end{0};
    // run time of some requests of old targets
    duration longest_request = std::chrono::seconds(2);
    // kills, pauses, cuts, late and lost answers of the store
    bool with_faults = false;
    // kills the node of the coordinator, for 3 s
    std::optional<duration> coordinator_ends;
};

/// @brief what happened
struct rollout_result
{
    std::vector<std::string> violations;
    std::vector<rollout_status> conclusions;
    std::optional<duration> concluded_at;
    std::uint64_t arrivals = 0;
    std::uint64_t by_new = 0;
    std::uint64_t bad_by_new = 0;
    std::uint64_t refused = 0;
};

/// @brief nodes, their gates, and a store with conditional writes, in one
/// process without a network
class rollout_model
{
public:
    explicit rollout_model(rollout_plan const & played);

    /// @brief plays until some time past the time limit
    rollout_result play();

private:
    struct node
    {
        node_name name;
        software_version version;
        bool alive = true;
        incarnation process{1};
        duration target_start{0};
        duration clock_offset{0};
        duration paused_until{0};
        duration cut_until{0};
        std::optional<rollout_gate> gate;
        std::optional<rollout_version_filter> filter;
        std::optional<rollout_entry> known;
        bool knows_store = false;
        duration order_seen{0};
        duration coordinator_seen{0};
        std::map<std::string, rollout_route_counts> routes;
        std::uint64_t in_progress = 0;
        std::deque<duration> recent;
        std::shared_ptr<rollout_coordinator> coordinator;
        object_version base;
        std::optional<rollout_status> writing;
        duration write_started{0};
    };

    double random();
    duration random_between(duration least, duration most);
    [[nodiscard]] duration now() const;
    [[nodiscard]] time_point local_time(node const & n) const;
    [[nodiscard]] bool is_new(node const & n) const;
    [[nodiscard]] bool is_up(node const & n) const;
    [[nodiscard]] bool is_target_ready(node const & n) const;
    void refresh(node & n);
    void learn(std::size_t i, rollout_entry const & copy);
    void publish();
    void act(std::size_t i);
    void write(std::size_t i, rollout_status const & status);
    void store_write(std::size_t i,
                     rollout_status const & status,
                     object_version base,
                     incarnation process);
    void finish_write(std::size_t i, rollout_status const & status, bool ok);
    void poll(std::size_t i, std::size_t k);
    rollout_counts report(node & n);
    void request();
    bool offer(node & n, std::string const & route);
    void run(std::size_t i, std::string const & route);
    [[nodiscard]] bool applies(rollout_fault const & fault,
                               node const & n,
                               std::string const & route) const;
    void break_something();
    void kill(std::size_t i, duration outage);
    void kill_coordinator();
    void check(bool holds, std::string const & what);

    rollout_plan plan;
    event_queue events;
    std::mt19937_64 source;
    std::vector<node> nodes;
    std::optional<rollout_entry> store;
    std::uint64_t revision = 1;
    duration store_down_until{0};
    // the 50th bad response of a bad version
    std::optional<duration> fiftieth_failure;
    rollout_result result;
};

} // namespace endivehinge::tests

#endif
