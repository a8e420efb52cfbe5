#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_DIRECTORY_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_DIRECTORY_HPP

#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_departure.hpp>
#include <endivehinge/policy/allotment_member.hpp>

namespace endivehinge
{

/// @brief the nodes that may own accounts and vote for owners, and which of
/// them can be reached
///
/// Each account has a group of a few nodes, one of which owns it. A refused
/// connection is no proof that a process has ended, since a cut may look the
/// same on both sides: it counts as no answer. What a process holds ends when
/// its time is over, or when the next process of its node is heard. Answers the
/// load after a target has left while its node cannot remove its entry: the
/// node states that it has departed, and all nodes pass this on.
/// @note pure: time is an argument; not thread-safe, the owner serialises all
/// calls
class allotment_directory
{
public:
    using node_list = std::vector<allotment_member>;

    explicit allotment_directory(node_name own_node);

    /// @brief replaces the nodes by those of the fleet view
    void set_nodes(node_list const & present);

    /// @brief records a message or an answer of a process
    ///
    /// The process before it on the same node has ended with it. One that was
    /// heard earlier stays ended, also if a message of it arrives late.
    void record_process(allotment_process const & process);

    /// @brief whether a later process of the same node has been heard
    [[nodiscard]] bool is_replaced(allotment_process const & process) const;

    /// @brief records that a node answered a message of this one
    void record_answer(node_name const & node);

    /// @brief records that a connection to a node was refused: it has ended, or
    /// a cut refuses connections to it
    void record_refused(node_name const & node, time_point now);

    /// @brief records that a node did not answer a message of this one
    void
    record_silence(node_name const & node, time_point sent_at, time_point now);

    /// @brief records that a node states, itself or through another one, that
    /// its target has left; ignored if its entry names another target
    /// @return whether it was not known
    bool record_departure(allotment_departure const & stated, time_point now);

    /// @brief records a message of a node that does not state its departure:
    /// a new process beside the same target
    void record_return(node_name const & node);

    /// @brief all departures of nodes whose entries are still in the view, and
    /// that of this node
    ///
    /// They are passed on by everyone. One does not expire: it is true as long
    /// as the entry names the same target.
    [[nodiscard]] std::vector<allotment_departure> departures() const;

    /// @brief sets the target that has left this node, which owns nothing until
    /// its next target
    /// @param target no value while it has a target, or never had one
    void set_own_departure(std::optional<target_id> const & target);

    [[nodiscard]] bool has_own_departure() const;

    /// @brief the nodes that may own an account and vote for its owner, the
    /// preferred owner first
    ///
    /// They are spread over the failure domains, so that a majority of them is
    /// left after the loss of one. Nodes that are dead or have departed belong
    /// to it, so that all nodes with the same view agree.
    [[nodiscard]] std::vector<node_name> const &
    group(account_name const & account);

    /// @brief the first node of the group that has not departed
    /// @return no value if there is none
    [[nodiscard]] std::optional<node_name> owner(account_name const & account);

    /// @brief whether a node owns nothing and gives no votes, since its target
    /// has left
    [[nodiscard]] bool has_departed(node_name const & node) const;

    /// @brief whether it has departed for so long that no vote of it is valid
    /// any more
    [[nodiscard]] bool is_without_votes(node_name const & node,
                                        time_point now) const;

    /// @brief whether a message to the node is likely to be answered
    [[nodiscard]] bool is_reachable(node_name const & node,
                                    time_point now) const;

    /// @brief whether a node has left messages of this node unanswered for so
    /// long that other nodes must not depend on it
    [[nodiscard]] bool is_lost(node_name const & node) const;

    [[nodiscard]] std::optional<endpoint> address(node_name const & node) const;

private:
    struct entry
    {
        endpoint address;
        target_id target;
        failure_domain domain;
        // the last process that was heard, and the ones before it
        std::uint64_t process = 0;
        std::deque<std::uint64_t> replaced;
        // the first of the messages that it has left unanswered, and the last
        std::optional<time_point> unanswered_since;
        time_point last_unanswered;
        // that one was refused at once, so that the next attempt costs no time
        bool is_refusing = false;
        // since when its target is known to have left
        std::optional<time_point> departed_since;
    };

    [[nodiscard]] std::vector<node_name>
    choose_group(account_name const & account) const;
    [[nodiscard]] entry const * find(node_name const & node) const;

    node_name self;
    std::optional<allotment_departure> departure;
    absl::btree_map<node_name, entry> nodes;
    absl::btree_map<account_name, std::vector<node_name>> groups;
};

} // namespace endivehinge

#endif
