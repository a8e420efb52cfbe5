#ifndef ENDIVEHINGE_TESTS_SIMULATION_ALLOTMENT_FLEET_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_ALLOTMENT_FLEET_HPP

#include <deque>    // deque
#include <map>      // map
#include <memory>   // unique_ptr
#include <optional> // optional
#include <queue>    // priority_queue
#include <random>   // mt19937
#include <set>      // set
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/policy/allotment_agent.hpp>

namespace endivehinge::tests
{

/// @brief nodes with allotment agents, links with delays and faults, and
/// clients of accounts, in simulated time; counts what is granted
class allotment_fleet
{
public:
    struct account_data
    {
        allotment_limits limits;
        std::deque<time_point> grants;
        // the greatest number of grants in one window
        std::size_t most_in_window = 0;
        std::size_t requests = 0;
        std::size_t granted = 0;
        std::size_t exhausted = 0;
        std::size_t no_contact = 0;
        // windows that begin earlier are not compared with the bound
        time_point bound_from;
        // grants beyond the bound
        std::size_t violations = 0;
        // since when requests have been refused for want of an owner, and the
        // longest such time
        std::optional<time_point> unserved_since;
        duration longest_unserved{0};
    };

    allotment_fleet(std::size_t nodes, unsigned seed, bool first_start);

    void add_account(std::string const & name, allotment_limits limits);

    /// @brief lowers or raises a limit at all nodes
    void set_limits(std::string const & name, allotment_limits limits);

    /// @brief sends a request to a node; one that is dead or paused answers
    /// nothing
    void request(std::size_t node, std::string const & account);

    /// @brief sends evenly spaced requests to one node after another
    void run_load(std::string const & account,
                  double per_second,
                  std::vector<std::size_t> const & nodes,
                  duration length);

    void run_for(duration length);

    void kill(std::size_t node);
    void start(std::size_t node);
    void set_paused(std::size_t node, bool paused);
    /// @brief drops messages in one direction
    void set_cut(std::size_t from, std::size_t to, bool cut);
    /// @brief refuses connections in one direction, as a machine does whose
    /// process has ended
    void refuse_connections(std::size_t from, std::size_t to);
    /// @brief refuses connections between some nodes and all others, in both
    /// directions
    void refuse_connections_of(std::vector<std::size_t> const & apart);
    /// @brief ends all cuts; processes stay as they are
    void end_cuts();
    void heal();
    /// @brief cuts a node off from the store and all other nodes; its view
    /// stays as it is
    void isolate(std::size_t node);
    /// @brief removes the entry of a node from all views, or adds it
    void set_present(std::size_t node, bool present);

    /// @brief a node's target leaves while the node cannot remove its entry
    void depart(std::size_t node);
    /// @brief a machine is gone: it neither answers nor refuses
    void vanish(std::size_t node);

    /// @brief removes the entries of nodes that are dead, paused or isolated
    void remove_lapsed();

    [[nodiscard]] std::size_t owner(std::string const & account) const;
    [[nodiscard]] bool is_running(std::size_t node) const;
    [[nodiscard]] std::uint64_t message_count() const;

    std::map<std::string, account_data> accounts;
    std::mt19937 generator;
    time_point now;

private:
    struct node_data
    {
        std::unique_ptr<allotment_agent> agent;
        bool paused = false;
        bool present = true;
        bool isolated = false;
        bool departed = false;
        // the incarnation of the target in its entry
        target_id target;
        time_point next_poll;
        // what arrived while the process was paused
        std::deque<std::function<void()>> held_back;
        std::map<std::uint64_t, std::string> waiting;
        std::uint64_t process = 0;
    };

    struct timed_action
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;

        friend bool operator<(timed_action const & a, timed_action const & b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void step();
    void poll(std::size_t node);
    void send(std::size_t from, allotment_agent::outgoing const & message);
    void at(time_point when, std::function<void()> run);
    void
    deliver(std::size_t node, std::uint64_t process, std::function<void()> run);
    [[nodiscard]] allotment_directory::node_list present_nodes() const;
    [[nodiscard]] allotment_directory::node_list
    nodes_seen_by(std::size_t node) const;
    void update_views();
    void count(std::string const & account, allotment_verdict const & verdict);
    [[nodiscard]] duration delay();
    [[nodiscard]] double random();
    [[nodiscard]] static node_name name_of(std::size_t node);

    std::vector<node_data> nodes;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::set<std::pair<std::size_t, std::size_t>> refusing_cuts;
    std::priority_queue<timed_action> queue;
    std::uint64_t last_order = 0;
    std::uint64_t last_request = 0;
    std::uint64_t last_process = 0;
    std::uint64_t messages = 0;
    bool first_start;
};

} // namespace endivehinge::tests

#endif
