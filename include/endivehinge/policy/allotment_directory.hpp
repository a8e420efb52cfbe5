#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_DIRECTORY_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_DIRECTORY_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/allotment_departure.hpp>
#include <endivehinge/policy/allotment_member.hpp>

namespace endivehinge
{

/// @brief the nodes that may own accounts, and which of them owns an account
///
/// The owner is the node with the highest rank whose process is not known to
/// have ended. Answers the load after the death of an owner: a refused
/// connection proves that its process grants nothing, so that the next node
/// takes over before the store removes the entry. Answers the load after a
/// target has left while its node cannot remove its entry: the node states
/// that it has departed, and all nodes pass this on, since its machine may be
/// gone soon and then refuses nothing.
/// @note pure: time is an argument; not thread-safe, the owner serialises all
/// calls
class allotment_directory
{
public:
    using node_list = std::vector<allotment_member>;

    /// @brief a node whose process has ended, and how long to assume so
    struct ended_node
    {
        node_name node;
        duration remaining{0};
    };

    allotment_directory(node_name own_node, time_point now);

    /// @brief replaces the nodes by those of the fleet view
    void set_nodes(node_list const & present, time_point now);

    /// @brief records that other nodes may have owned accounts of this one
    void restart(time_point now);

    /// @brief records that a node's system refused a connection of this node
    /// @return whether the node was not taken to have ended before
    bool record_refused(node_name const & node, time_point now);

    /// @brief records that a node's system refused a connection of another node
    /// @param remaining limited to the validity of such a proof
    /// @return whether the node was not taken to have ended before
    bool
    record_ended(node_name const & node, duration remaining, time_point now);

    /// @brief records a sign of life of a node
    /// @return whether the node was taken to have ended before
    bool record_alive(node_name const & node, time_point now);

    /// @brief records that a node states, itself or through another one, that
    /// its target has left; ignored if its entry names another target
    /// @return whether it was not known
    bool record_departure(allotment_departure const & departure,
                          time_point now);

    /// @brief records a message of a node that does not state its departure:
    /// a new process beside the same target
    /// @return whether it was taken to have departed
    bool record_return(node_name const & node, time_point now);

    /// @brief all departures of nodes whose entries are still in the view, and
    /// that of this node
    ///
    /// They are passed on by everyone. One does not expire: it is true as long
    /// as the entry names the same target.
    [[nodiscard]] std::vector<allotment_departure> departures() const;

    /// @brief sets the target that has left this node, which owns nothing until
    /// its next target
    /// @param target no value while it has a target, or never had one
    ///
    /// That its entry is missing from the view is no reason: the store may have
    /// removed the entry of a node that was silent for long, and the node
    /// writes it again.
    void set_own_departure(std::optional<target_id> const & target);

    /// @return no value if no node is known
    [[nodiscard]] std::optional<node_name> owner(account_name const & account,
                                                 time_point now) const;

    /// @brief since when no other node has been the owner of an account, as
    /// far as this node knows
    /// @pre this node is the owner
    [[nodiscard]] time_point owner_since(account_name const & account,
                                         time_point now) const;

    /// @brief from when on no other node can act as the owner of an account,
    /// even one that does not answer
    /// @pre this node is the owner
    /// @return no value if another node may still do so: while this node is
    /// new in the view, one with a higher rank has just left it, or only other
    /// nodes have seen that one has ended
    [[nodiscard]] std::optional<time_point>
    alone_from(account_name const & account, time_point now) const;

    /// @brief nodes that have ended as this node itself has seen
    ///
    /// Proofs of others are not passed on: each transmission makes one valid
    /// for longer, so that among many nodes it would never expire.
    [[nodiscard]] std::vector<ended_node> ended_nodes(time_point now) const;

    /// @brief all nodes but this one, and those that left the view recently: an
    /// entry may be lost while its node runs
    [[nodiscard]] std::vector<node_name> other_nodes() const;

    [[nodiscard]] std::optional<endpoint> address(node_name const & node) const;

private:
    struct entry
    {
        endpoint address;
        // of the proof that its process has ended, if there is one
        time_point ended_until;
        time_point ended_since;
        // the same, for connections that were refused to this node itself
        time_point refused_until;
        time_point refused_since;
        time_point last_alive;
        target_id target;
        // since when its target is known to have left
        std::optional<time_point> departed_since;
    };

    struct removed_node
    {
        endpoint address;
        time_point since;
    };

    [[nodiscard]] static bool can_own(entry const & known, time_point now);

    node_name self;
    std::optional<allotment_departure> departure;
    time_point started;
    // the entry of an earlier process was in the first view, so that the other
    // nodes knew this one before
    bool was_known = false;
    absl::btree_map<node_name, entry> nodes;
    // nodes that are no longer present, and since when
    absl::btree_map<node_name, removed_node> removed;
};

} // namespace endivehinge

#endif
