#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_ELECTION_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_ELECTION_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/btree_map.h> // btree_map
#include <absl/container/btree_set.h> // btree_set

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_directory.hpp>
#include <endivehinge/policy/allotment_vote.hpp>

namespace endivehinge
{

/// @brief which accounts this node owns, and the votes that it has given
///
/// A node owns an account while a majority of the account's group has given it
/// their vote. A voter gives its vote to one node at a time, for 1.2 s; in the
/// first 1.2 s of its process, when it may have forgotten an earlier one,
/// its vote counts only if the whole group votes alike. The group does not
/// shrink by what one node sees of the others: a node that is not reached may
/// have an owner on its side of a cut. So an account has one owner at most,
/// whichever nodes are cut off, paused or restarted, and whether a cut is
/// silent or refuses, as long as the nodes agree on its group; while their
/// views differ, a node becomes no owner if any voter that it reaches has given
/// its vote to another one. Answers the load after any loss of owners: the next
/// owner needs no answer of a node that is gone, as long as a majority of the
/// group answers.
/// @note pure: time is an argument; not thread-safe, the owner serialises all
/// calls
class allotment_election
{
public:
    /// @param first_start whether no fleet ran before, so that this node cannot
    /// have given votes
    allotment_election(allotment_process own_process,
                       bool first_start,
                       time_point now);

    /// @brief answers the request for a vote
    [[nodiscard]] allotment_vote vote(allotment_vote_request const & request,
                                      allotment_process const & candidate,
                                      allotment_directory & directory,
                                      time_point now);

    /// @brief takes back a vote that a node does not use
    void take_back(allotment_vote_request const & request,
                   allotment_process const & candidate,
                   time_point now);

    /// @brief records that an account is in use, so that this node should own
    /// it unless another one does
    void seek(account_name const & account, time_point now);

    /// @brief whether this node owns an account now
    [[nodiscard]] bool is_owner(account_name const & account,
                                allotment_directory & directory,
                                time_point now);

    /// @brief since when this node has owned the account
    /// @pre is_owner()
    [[nodiscard]] time_point owner_since(account_name const & account) const;

    /// @brief for how long at least nobody had owned the account before
    /// @pre is_owner()
    [[nodiscard]] duration unowned_before(account_name const & account) const;

    /// @brief another node that owns the account or may soon, as far as known
    [[nodiscard]] std::optional<node_name>
    other_owner(account_name const & account,
                allotment_directory const & directory,
                time_point now) const;

    /// @brief time until this node may own the account at the earliest
    [[nodiscard]] duration blocked_for(account_name const & account,
                                       time_point now) const;

    /// @brief what the account waits for, as a text for the log
    [[nodiscard]] std::string reason(account_name const & account,
                                     allotment_directory & directory,
                                     time_point now);

    /// @brief vote requests to one node
    struct ballot
    {
        node_name node;
        std::vector<allotment_vote_request> requests;
    };

    /// @brief the vote requests that are due
    [[nodiscard]] std::vector<ballot>
    due_ballots(allotment_directory & directory, time_point now);

    /// @brief takes an answer to a vote request
    void record_vote(account_name const & account,
                     node_name const & voter,
                     allotment_vote const & vote,
                     allotment_directory & directory,
                     time_point sent_at,
                     time_point now);

    /// @brief records that a vote request got no answer
    void record_failure(account_name const & account,
                        node_name const & voter,
                        time_point now);

    /// @brief ends the ownership of all accounts
    void resign();

    /// @brief ends the ownership of all accounts for good, and returns the
    /// votes that this node has; it still votes for others
    void retire(time_point now);

    [[nodiscard]] bool is_retired() const;

    /// @brief owners that another node wants to replace, so that this one has
    /// to find out whether it reaches them; each is returned once
    [[nodiscard]] std::vector<node_name> take_doubted();

    /// @brief has the next take_doubted() return a node
    void doubt(node_name const & node);

    /// @brief whether this node owns an account or seeks to
    [[nodiscard]] bool is_active(time_point now) const;

    /// @brief forgets what has ended
    void discard_idle(time_point now);

private:
    struct given_vote
    {
        allotment_process candidate;
        time_point until;
        // of the last request
        std::uint64_t number = 0;
        // when it was given first
        time_point since;
        // since when this voter has known no other owner
        time_point unowned_since;
    };

    struct received_vote
    {
        time_point until;
        // the voter has given its vote to another node
        time_point rejected_until;
        time_point requested;
        time_point next_request;
        duration unowned_for{0};
        bool provisional = false;
        // from when on a provisional vote may be a full one
        time_point full_from;
        bool in_flight = false;
    };

    struct candidacy
    {
        time_point wanted_until;
        // since when it has been wanted without an owner
        time_point sought_since;
        // of votes
        time_point last_request;
        bool established = false;
        time_point since;
        duration unowned_before{0};
        // when it last lost the majority
        std::optional<time_point> lost_at;
        time_point blocked_until;
        // a node that has a vote, which this one gives way to
        std::optional<node_name> rival;
        time_point rival_until;
        absl::btree_map<node_name, received_vote> votes;
    };

    struct vote_count
    {
        // full votes, and how many are a majority
        std::size_t received = 0;
        std::size_t required = 0;
        // members of the group without a vote for it
        std::size_t missing = 0;
        bool is_member = false;
        bool rejected = false;
        bool in_flight = false;
        duration unowned_for{0};
    };

    [[nodiscard]] bool has_just_started(time_point now) const;
    [[nodiscard]] static received_vote vote_of(candidacy const & own,
                                               node_name const & node);
    [[nodiscard]] received_vote own_vote(account_name const & account,
                                         time_point now) const;
    void give(account_name const & account,
              allotment_process const & candidate,
              std::uint64_t number,
              allotment_directory const & directory,
              time_point now);
    [[nodiscard]] bool has_own_vote(account_name const & account,
                                    time_point now) const;
    /// @brief whether a vote that was given still binds this node
    [[nodiscard]] static bool binds(given_vote const & given,
                                    allotment_directory const & directory,
                                    time_point now);
    [[nodiscard]] vote_count count(account_name const & account,
                                   candidacy const & own,
                                   allotment_directory & directory,
                                   time_point now) const;
    void record_granted(account_name const & account,
                        candidacy & own,
                        node_name const & voter,
                        allotment_vote const & vote,
                        time_point sent_at,
                        time_point now);
    void record_rejected(account_name const & account,
                         candidacy & own,
                         node_name const & voter,
                         allotment_vote const & vote,
                         allotment_directory & directory,
                         time_point now);
    /// @brief gives way to another candidate
    void yield(account_name const & account,
               candidacy & own,
               node_name const & rival,
               time_point now);
    /// @brief gives up what has been received for an account
    void
    return_votes(account_name const & account, candidacy & own, time_point now);
    [[nodiscard]] bool take_own_vote(account_name const & account,
                                     candidacy & own,
                                     allotment_directory const & directory,
                                     time_point now);
    [[nodiscard]] bool
    is_bound_to_lost(account_name const & account,
                     allotment_directory const & directory) const;
    void add_requests(
        account_name const & account,
        candidacy & own,
        allotment_directory & directory,
        time_point now,
        absl::btree_map<node_name, std::vector<allotment_vote_request>> &
            by_node);

    allotment_process self;
    time_point votes_from;
    bool retired = false;
    absl::btree_map<account_name, given_vote> given;
    absl::btree_map<account_name, candidacy> candidacies;
    std::uint64_t last_number = 0;
    absl::btree_set<node_name> doubted;
    // votes to return
    absl::btree_map<node_name, std::vector<allotment_vote_request>> returns;
};

} // namespace endivehinge

#endif
