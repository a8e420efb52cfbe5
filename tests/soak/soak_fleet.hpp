#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_FLEET_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_FLEET_HPP

#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context

#include <endivehinge/detail/gateway/upstream.hpp>

#include "gateway/fault_relay.hpp"
#include "gateway/store_stand_in.hpp"
#include "soak_process.hpp"

namespace endivehinge::tests
{

/// @brief a span in which a member may drop or hold what clients send
struct trouble_span
{
    duration from{0};
    duration to{0};
};

/// @brief a node, its target, and the links around them
struct soak_member
{
    std::string host;
    std::string settings;
    std::unique_ptr<soak_process> node;
    std::unique_ptr<soak_process> target;
    // names of the target's runs
    int target_runs = 0;
    std::unique_ptr<fault_relay> client_link;
    std::unique_ptr<fault_relay> target_link;
    std::unique_ptr<fault_relay> store_link;
    std::unique_ptr<detail::upstream> clients;
    std::vector<trouble_span> troubles;
    // spans in which its target may read late what was sent to it
    std::vector<trouble_span> target_troubles;
};

/// @brief what a soak_fleet starts
struct soak_plan
{
    std::size_t members = 4;
    std::uint64_t seed = 1;
    // the folder of this run's files
    std::string folder;
    // whether the store returns from older copies
    bool restores = false;
    // whether cuts reset each new connection, too
    bool resets = false;
    // from the signal to stop until a node is killed
    int grace_s = 3;
    // the programs
    std::string endivehinge;
    std::string soak;
};

/// @brief nodes and targets as processes, with the store and the links between
/// them in this one
/// @note thread safety: none; used on one event loop
class soak_fleet
{
public:
    explicit soak_fleet(soak_plan chosen);

    // in the settings of each node
    static constexpr std::uint64_t node_memory_bytes = std::uint64_t{64} << 20;

    /// @brief the ports of a node's listeners, apart from that for metrics
    [[nodiscard]] static std::vector<std::uint16_t> listener_ports();

    /// @brief since the start
    [[nodiscard]] duration now() const;

    /// @brief calls an action later
    void after(duration span, std::function<void()> action);

    /// @brief runs the loop until a condition holds
    /// @return whether it did within the patience
    bool run_until(duration patience, std::function<bool()> const & condition);

    /// @brief writes the next configuration as an operator does
    void configure();

    /// @brief evacuates a domain as an operator does, and no other one; none
    /// if empty
    void evacuate(std::string const & domain);

    /// @brief writes the newest configuration and evacuations again, as an
    /// operator does after the store's return from a copy; nothing if it has
    /// gone away again
    void write_again();

    void start_node(std::size_t index);
    void start_target(std::size_t index);

    /// @brief starts each node and target that does not run
    void start_ended_processes();

    /// @brief ends every fault and starts what does not run
    void calm();

    /// @brief tells the nodes to stop; none is started afterwards
    /// @return whether all have ended within the patience
    bool stop_nodes(duration patience);

    /// @brief a time of the monotonic clock, in milliseconds, since the start
    [[nodiscard]] duration since_start(std::int64_t monotonic_ms) const;

    /// @brief the nodes without an entry in the store; after restores also
    /// those whose entry names an earlier target
    [[nodiscard]] std::vector<std::string> missing_entries() const;

    /// @brief whether a span touches one of others
    [[nodiscard]] static bool touches(std::vector<trouble_span> const & spans,
                                      duration from,
                                      duration to);

    soak_plan plan;
    boost::asio::io_context io{1};
    store_stand_in store;
    // no other fault ends the absence of the store
    bool store_is_away = false;
    std::vector<std::unique_ptr<soak_member>> members;

private:
    // notes where this process itself stood still: it read responses late then
    void watch_own_pauses(duration last);
    void write_configuration();
    void write_evacuations();
    // of the newest run of a member's target
    [[nodiscard]] std::string target_id(std::size_t index) const;
    void add_member(std::size_t index);
    void write_settings(soak_member const & member, std::size_t index) const;

    time_point began;
    int version = 0;
    // the domain that the operator has evacuated; empty for none
    std::string evacuated;
    // nodes are not started any more
    bool closing = false;
};

} // namespace endivehinge::tests

#endif
