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

/// @brief the nodes of a group
constexpr std::size_t node_count = 5;

/// @brief the civil time at which a run starts
wall_time const wall_start{std::chrono::seconds(1800000000)};

/// @brief which faults may come, at random moments
struct fault_plan
{
    bool lost_messages = false;
    bool lost_writes = false; // answers lost, writes that take effect late
    bool outages = false;     // of the platform
    bool pauses = false;      // also between reading a clock and acting on it
    bool crashes = false;
    bool leaves = false;
    bool cuts = false; // of one node, from the platform or the others
};

/// @brief what happened, as the callers and the targets saw it
struct group_history
{
    std::map<idempotency_key, int> runs;
    // rejected and, by that, never to run again by the same attempt
    int rejected = 0;
    int answered = 0;
    int indeterminate = 0;
    int started = 0;
    int epochs = 0;
    int platform_writes = 0;
    int platform_reads = 0;
    // moments at which two nodes held a lease for one key
    int shared_leases = 0;
    int handed_over = 0;
};

/// @brief the owners of one service over a virtual platform and network
/// @note thread safety: one thread
class owner_group
{
public:
    owner_group(unsigned int seed, fault_plan const & faults);

    /// @brief lets it all happen
    group_history run(duration length);

private:
    struct node
    {
        owner_identity identity;
        double rate = 1.0;
        duration offset{0};
        duration wall_error{0};
        std::unique_ptr<service_leader> leader;
        std::unique_ptr<key_owner> owner;
        bool is_up = false;
        duration paused_until{0};
        duration platform_cut_until{0};
        duration network_cut_until{0};
        time_point answered;
        // what came in while it was paused
        std::deque<std::function<void()>> waiting;
    };

    struct use
    {
        idempotency_key key;
        int tries_left = 0;
    };

    bool chance(double share);
    duration between(duration least, duration most);
    clock_reading read(node const & one) const;
    node * find(owner_identity const & identity);
    void start(std::size_t index);
    void stop(std::size_t index);
    // runs at the node now, once it is resumed, or never
    void at(owner_identity const & to,
            std::function<void(node &)> const & action);
    void send(owner_identity const & to, std::function<void(node &)> action);
    void tick(std::size_t index, owner_identity const & identity);
    void renew(node & one);
    void call_platform(node & one);
    bool reaches_platform(owner_identity const & caller);
    void read_platform(owner_identity const & caller);
    void write_platform(owner_identity const & caller, store_call const & call);
    void
    apply(owner_identity const & caller, store_call const & call, bool tells);
    void send_handovers(node & one);
    void make_fault();
    void make_request();
    void offer(use const & next);
    void decide(node & one, use const & next, clock_reading const & at);
    void finish(owner_identity const & by, idempotency_key const & key);
    void check_leases();

    fault_plan faults;
    std::mt19937 random;
    event_queue events;
    std::vector<node> nodes;
    std::uint64_t next_run = 1;
    unsigned int next_key = 0;
    duration platform_down_until{0};
    std::optional<assignment> object;
    std::uint64_t object_number = 0;
    group_history history;
};

} // namespace endivehinge::tests

#endif
