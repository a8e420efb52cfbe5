#ifndef ENDIVEHINGE_TESTS_SIMULATION_OWNER_GROUP_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_OWNER_GROUP_HPP

#include <deque>    // deque
#include <map>      // map
#include <memory>   // unique_ptr
#include <optional> // optional
#include <random>   // mt19937
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/key_owner.hpp>
#include <endivehinge/coordination/service_leader.hpp>

#include "event_queue.hpp"

namespace endivehinge::tests
{

/// @brief the number of nodes in the group
constexpr std::size_t node_count = 5;

/// @brief the wall clock time at the start of a simulation
wall_time const wall_clock_start{std::chrono::seconds(1800000000)};

/// @brief which faults occur, at random times
struct fault_plan
{
    bool lost_messages = false;
    bool lost_writes = false; // responses lost, writes that take effect late
    bool outages = false;     // the platform is unavailable
    bool pauses = false;      // also between a clock read and its use
    bool crashes = false;
    bool departures = false;
    bool partitions = false; // one node loses the platform or its peers
};

/// @brief the events seen by the callers and the targets
struct group_history
{
    std::map<idempotency_key, int> executions;
    // a rejected attempt never runs later
    int rejected = 0;
    int answered = 0;
    int indeterminate = 0;
    int started = 0;
    int epochs = 0;
    int platform_writes = 0;
    int platform_reads = 0;
    // checks that found two nodes with a lease on the same key
    int overlapping_leases = 0;
    int records_handed_over = 0;
};

/// @brief simulates the key owners of one service on a virtual platform and
///        network
/// @note thread safety: one thread
class owner_group
{
public:
    owner_group(unsigned int seed, fault_plan const & faults);

    /// @brief runs the simulation for a virtual duration
    group_history run(duration length);

private:
    struct node
    {
        owner_identity identity;
        double clock_rate = 1.0;
        duration clock_offset{0};
        duration wall_clock_error{0};
        std::unique_ptr<service_leader> leader;
        std::unique_ptr<key_owner> owner;
        bool is_up = false;
        duration paused_until{0};
        duration platform_partition_until{0};
        duration network_partition_until{0};
        time_point last_response;
        // messages received during a pause
        std::deque<std::function<void()>> deferred;
    };

    struct key_use
    {
        idempotency_key key;
        int attempts_left = 0;
    };

    bool random_chance(double share);
    duration random_duration(duration min_value, duration max_value);
    clock_reading read(node const & member) const;
    node * find(owner_identity const & identity);
    void start(std::size_t index);
    void stop(std::size_t index);
    // Runs an action at a node: now, after its pause, or never if it has
    // stopped.
    void run_on(owner_identity const & to,
                std::function<void(node &)> const & action);
    void send(owner_identity const & to, std::function<void(node &)> action);
    void poll(std::size_t index, owner_identity const & identity);
    void renew(node & member);
    void call_platform(node & member);
    bool reaches_platform(owner_identity const & caller);
    void read_platform(owner_identity const & caller);
    void write_platform(owner_identity const & caller, store_call const & call);
    void apply(owner_identity const & caller,
               store_call const & call,
               bool is_acknowledged);
    void send_handovers(node & member);
    void inject_fault();
    void make_request();
    void submit(key_use const & next);
    void
    execute(node & member, key_use const & next, clock_reading const & reading);
    void finish(owner_identity const & owner, idempotency_key const & key);
    void check_leases();

    fault_plan faults;
    std::mt19937 random;
    event_queue events;
    std::vector<node> nodes;
    std::uint64_t next_incarnation = 1;
    unsigned int next_key = 0;
    duration platform_down_until{0};
    std::optional<assignment> stored_value;
    std::uint64_t stored_version = 0;
    group_history history;
};

} // namespace endivehinge::tests

#endif
