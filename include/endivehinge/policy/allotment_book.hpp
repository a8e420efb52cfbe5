#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_BOOK_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_BOOK_HPP

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <absl/container/btree_map.h> // btree_map
#include <absl/container/btree_set.h> // btree_set

#include <endivehinge/policy/allotment_directory.hpp>
#include <endivehinge/policy/allotment_ledger.hpp>

namespace endivehinge
{

/// @brief limits and circumstances of an allotment_book
struct allotment_book_options
{
    // requests beyond the allotment that are tolerated in one window
    double slack = 0;
    // whether no fleet ran before, so that no rights exist
    bool first_start = false;
};

/// @brief the ledgers of the accounts that this node owns
///
/// A new owner asks the other nodes for the rights that they hold. It knows all
/// of them as soon as one node has the promise of the last owner that none
/// exists, or each one has answered or is proven dead. The former answers
/// faults in series, in which there is always a node that does not answer; the
/// latter the return of the whole fleet, in which nobody holds a right.
/// @note pure: time is an argument; not thread-safe, the owner serialises all
/// calls
class allotment_book
{
public:
    allotment_book(allotment_book_options chosen, time_point now);

    /// @brief prepares the ledger of an account
    /// @param owner_since since when this node has been the owner; the ledger
    /// starts anew if this is later than at the last call
    /// @param rights_free_until a promise of the last owner that this node has
    /// @param directory names the other nodes
    /// @return null while the first answers of the others are awaited, for
    /// at most 100 ms
    [[nodiscard]] allotment_ledger * open(account_name const & account,
                                          allotment_limits const & limits,
                                          time_point owner_since,
                                          time_point rights_free_until,
                                          allotment_directory const & directory,
                                          time_point now);

    /// @brief discards the ledger of an account that another node owns
    void close(account_name const & account);

    /// @brief a question to one node for its rights to these accounts
    struct question
    {
        node_name node;
        std::vector<account_name> accounts;
    };

    /// @brief the questions that are due
    [[nodiscard]] std::vector<question> due_questions(time_point now);

    /// @param asked_at when the question was sent
    void record_claim(account_name const & account,
                      allotment_process const & from,
                      allotment_claim const & claim,
                      time_point asked_at,
                      time_point now);

    /// @brief records that the process of a node has ended
    /// @param attempted_at when the connection was tried that was refused
    void record_ended(node_name const & node,
                      time_point attempted_at,
                      time_point now);

    /// @brief sets whether this node may assume that nobody else owns its
    /// accounts
    void set_confirmed(bool is_confirmed, time_point now);

    /// @brief nodes with valid rights that are silent
    [[nodiscard]] std::vector<node_name> silent_holders(time_point now) const;

    /// @brief discards ledgers that are full and without rights
    void discard_idle(time_point now);

    /// @brief what an account waits for, as a text for the log
    [[nodiscard]] std::string reason(account_name const & account,
                                     time_point now) const;

    [[nodiscard]] std::size_t size() const;

    /// @brief ledgers that were created so far
    [[nodiscard]] std::uint64_t opened_count() const;

    /// @brief whether a ledger waits for the rights of other nodes
    [[nodiscard]] bool is_recovering(time_point now) const;

private:
    struct account_entry
    {
        allotment_ledger ledger;
        time_point owner_since;
        time_point opened;
        // until when no right exists, as the last owner promised; the latest
        // such time that is known
        time_point promise;
        // nodes that were not heard, and when each is asked next
        absl::btree_map<node_name, time_point> unheard;
        // whether these are all nodes, so that all rights are known when none
        // is left
        bool asks_all = false;
    };

    [[nodiscard]] account_entry & create(account_name const & account,
                                         allotment_limits const & limits,
                                         time_point owner_since,
                                         allotment_directory const & directory,
                                         time_point now);
    static void add_questions(account_name const & account,
                              account_entry & entry,
                              std::vector<node_name> others,
                              time_point now);
    static void check_all_heard(account_entry & entry, time_point now);
    /// @brief ends the recovery if the promise of the last owner still held
    /// when no other node could act as the owner any more
    static void apply_promise(account_name const & account,
                              account_entry & entry,
                              allotment_directory const & directory,
                              time_point now);

    allotment_book_options options;
    time_point started;
    std::uint64_t opened = 0;
    bool confirmed = true;
    absl::btree_map<account_name, account_entry> accounts;
};

} // namespace endivehinge

#endif
