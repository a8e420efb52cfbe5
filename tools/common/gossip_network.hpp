#ifndef ENDIVEHINGE_TOOLS_COMMON_GOSSIP_NETWORK_HPP
#define ENDIVEHINGE_TOOLS_COMMON_GOSSIP_NETWORK_HPP

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <queue>      // priority_queue
#include <random>     // mt19937_64
#include <vector>     // vector

#include <endivehinge/coordination/membership.hpp>
#include <endivehinge/detail/membership/protobuf_gossip_codec.hpp>

namespace endivehinge::tools
{

/// @brief the shape of a network and the faults that it always has
struct gossip_network_options
{
    std::size_t members = 20;
    std::size_t domains = 4;
    std::size_t regions = 2;
    std::size_t services = 4;
    std::uint64_t seed = 1;
    // of each datagram
    double loss = 0;
    double duplication = 0;
    duration max_jitter = std::chrono::milliseconds(2);
    duration region_delay = std::chrono::milliseconds(40);
    // every datagram is encoded and decoded; whether the decoded message is
    // the one delivered, or the one sent, which takes less memory
    bool deliver_decoded = true;
    // from hearing of a newer version to holding it
    duration adoption_delay = std::chrono::milliseconds(0);
    membership_options timing;
};

/// @brief what the members of a network have sent
struct gossip_counters
{
    std::uint64_t datagrams = 0;
    // as encoded, with IP and UDP headers
    std::uint64_t bytes = 0;
    std::uint64_t largest_datagram_bytes = 0;
    std::uint64_t undecodable = 0;
};

/// @brief real membership state machines in one process: datagrams in memory,
///        a virtual clock, seeded faults
/// @note thread safety: one thread
class gossip_network
{
public:
    using cut_rule = std::function<bool(std::size_t from, std::size_t to)>;
    using adoption_rule = std::function<void(std::size_t, object_version)>;

    explicit gossip_network(gossip_network_options options);

    /// @brief starts a node, or starts it again as a new incarnation
    void start(std::size_t node);

    /// @brief starts all nodes
    void start_all();

    /// @brief lets every running node know every other at once
    void introduce_all();

    /// @brief the process ends without a word
    void crash(std::size_t node);

    /// @brief the node leaves and its process ends
    void leave(std::size_t node);

    /// @brief the process stands still; what is sent to it waits
    void pause(std::size_t node);

    /// @brief the process goes on
    void resume(std::size_t node);

    /// @brief drops the datagrams for which the rule holds
    /// @param rule null heals
    void cut(cut_rule rule);

    /// @brief lets the virtual time pass
    void run_for(duration span);

    /// @brief lets the virtual time pass until a condition holds
    /// @return whether it came to hold
    bool run_until(std::function<bool()> const & holds, duration limit);

    /// @brief whether each running node believes each running node alive and
    ///        none that has gone
    [[nodiscard]] bool agreed();

    /// @brief a node tells of a configuration version
    void set_configuration_version(std::size_t node, object_version version);

    /// @brief a node tells one other of the version that it holds
    void announce(std::size_t from, std::size_t to);

    /// @brief the version that a node holds
    [[nodiscard]] object_version version_at(std::size_t node) const;

    /// @brief called when a node takes a version on; it then tells others
    void on_adoption(adoption_rule rule);

    [[nodiscard]] membership & at(std::size_t node);
    [[nodiscard]] bool is_running(std::size_t node) const;
    [[nodiscard]] node_name name_of(std::size_t node) const;
    [[nodiscard]] std::size_t domain_of(std::size_t node) const;
    [[nodiscard]] std::size_t region_of(std::size_t node) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] time_point now() const;
    [[nodiscard]] gossip_counters const & counters() const;
    [[nodiscard]] gossip_counters const & counters(std::size_t node) const;
    void reset_counters();

private:
    struct slot
    {
        std::unique_ptr<membership> state;
        bool paused = false;
        std::uint64_t runs = 0;
        object_version version;
        // heard of, and on its way
        object_version wanted;
        std::vector<outgoing_gossip> waiting;
        gossip_counters sent;
    };

    struct delivery
    {
        time_point at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<gossip_message const> message;

        friend bool operator<(delivery const & a, delivery const & b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    struct pending_adoption
    {
        time_point at;
        std::size_t node = 0;
        object_version version;

        friend bool operator<(pending_adoption const & a,
                              pending_adoption const & b)
        {
            return a.at > b.at;
        }
    };

    member describe(std::size_t node) const;
    std::vector<endpoint> contacts() const;
    void step();
    void deliver(delivery const & next);
    void adopt_due();
    void collect(std::size_t node);
    void transmit(std::size_t from, outgoing_gossip sent);
    void count(std::size_t from, gossip_message & message);
    duration delay(std::size_t from, std::size_t to);
    bool knows_right(std::size_t node, std::size_t other);

    gossip_network_options options;
    std::mt19937_64 random;
    detail::protobuf_gossip_codec codec;
    time_point clock{std::chrono::hours(1)};
    std::uint64_t steps = 0;
    std::uint64_t deliveries_made = 0;
    std::vector<slot> slots;
    std::priority_queue<delivery> in_flight;
    std::priority_queue<pending_adoption> adoptions;
    cut_rule rule;
    adoption_rule adoption;
    gossip_counters total;
    // where the last disagreement was seen
    std::size_t last_wrong = 0;
};

} // namespace endivehinge::tools

#endif
