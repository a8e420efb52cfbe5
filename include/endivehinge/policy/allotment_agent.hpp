#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_AGENT_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_AGENT_HPP

#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <absl/container/btree_map.h> // btree_map
#include <absl/container/btree_set.h> // btree_set

#include <endivehinge/policy/allotment_directory.hpp>
#include <endivehinge/policy/allotment_election.hpp>
#include <endivehinge/policy/allotment_holder.hpp>
#include <endivehinge/policy/allotment_ledger.hpp>
#include <endivehinge/policy/allotment_message.hpp>
#include <endivehinge/policy/allotment_response.hpp>
#include <endivehinge/policy/allotment_retry.hpp>

namespace endivehinge
{

/// @brief counts since the start of the process
struct allotment_counters
{
    std::uint64_t granted = 0;
    std::uint64_t refused_exhausted = 0;
    std::uint64_t refused_no_contact = 0;
    std::uint64_t asks = 0;
    std::uint64_t messages = 0;
    std::uint64_t failed_messages = 0;
    std::uint64_t returned = 0;
    std::uint64_t ledgers_opened = 0;
};

/// @brief limits and circumstances of an allotment_agent
struct allotment_options
{
    // requests beyond the allotment that are tolerated in one window
    double slack = 0;
    // whether no fleet ran before, so that nothing was granted
    bool first_start = false;
};

/// @brief all decisions of one node on allotments: as the owner of some
/// accounts and as the holder of tokens of others
///
/// Produces messages and decisions as values; the caller transmits them.
/// @note pure: time and random numbers are arguments; not thread-safe, the
/// owner serialises all calls
class allotment_agent
{
public:
    /// @brief identifies a request that waits for a token
    using request_number = std::uint64_t;

    /// @brief a message to send
    struct outgoing
    {
        node_name to;
        allotment_message message;
    };

    /// @brief the decision on a request that waited
    struct decision
    {
        request_number request = 0;
        account_name account;
        allotment_verdict verdict;
    };

    /// @brief what to do after a call of poll()
    struct actions
    {
        std::vector<outgoing> messages;
        std::vector<decision> decisions;
    };

    /// @brief a change to be logged
    struct event
    {
        enum class kind
        {
            exhausted,      // the account was refused a first request
            available,      // it was not refused any for some time
            ownership,      // this node began to grant tokens of the account
            owner_lost,     // no answer from the owner
            owner_regained, // the owner answers again
            owner_departed, // a node states that its target has left
            unserved,       // requests are refused for want of an owner
        };

        kind what = kind::exhausted;
        account_name account;
        node_name node;
        // unserved: for how long, and what would end it
        duration age{0};
        std::string reason;
    };

    /// @brief accounts whose latest request was refused for want of an owner
    struct unserved_accounts
    {
        std::size_t count = 0;
        duration oldest{0};
    };

    /// @brief the limits of an account; no value if it has none
    using limits_lookup =
        std::function<std::optional<allotment_limits>(account_name const &)>;

    allotment_agent(allotment_process own_process,
                    allotment_options chosen,
                    limits_lookup lookup,
                    time_point now);

    /// @brief replaces the nodes by those of the fleet view
    void set_nodes(allotment_directory::node_list const & present);

    /// @brief sets the target that has left this node, if it has none any more
    void set_own_departure(std::optional<target_id> const & target);

    /// @brief gives up all accounts that this node owns, and owns none any
    /// more, since its process is about to end
    ///
    /// The next poll() returns the votes, so that other nodes need not wait
    /// until they run out. This node still votes.
    void retire(time_point now);

    /// @brief decides on a request
    /// @param request a number that is not in use
    /// @param patience how long the request may wait for an owner
    /// @return no value if a later poll() returns the decision; call poll()
    /// soon
    [[nodiscard]] std::optional<allotment_verdict>
    begin(account_name const & account,
          allotment_limits const & limits,
          request_number request,
          duration patience,
          time_point now,
          double random);

    /// @brief removes a request that no longer waits
    void cancel(account_name const & account, request_number request);

    /// @brief takes back the token of a request that ran nowhere
    void put_back(account_name const & account,
                  allotment_verdict const & verdict,
                  time_point now);

    /// @brief decides on waiting requests and creates messages; at most one to
    /// a node is in flight, except for votes
    [[nodiscard]] actions poll(time_point now, double random);

    /// @brief whether poll() has to be called within the poll interval
    [[nodiscard]] bool is_active(time_point now) const;

    /// @brief how often poll() has to be called while is_active()
    [[nodiscard]] static duration poll_interval();

    /// @brief answers a message of another node
    [[nodiscard]] allotment_response answer(allotment_message const & message,
                                            time_point now);

    /// @brief takes the answer to a message
    void record_response(outgoing const & sent,
                         allotment_response const & response,
                         time_point sent_at,
                         time_point now);

    /// @brief records that a message got no answer
    /// @param refused whether its connection was refused
    void record_failure(outgoing const & sent,
                        bool refused,
                        time_point sent_at,
                        time_point now);

    /// @brief the address of a node
    [[nodiscard]] std::optional<endpoint> address(node_name const & node) const;

    [[nodiscard]] allotment_counters const & counters() const;

    /// @brief returns and removes the changes since the last call
    [[nodiscard]] std::vector<event> take_events();

    /// @brief accounts without an owner, as the requests at this node show
    [[nodiscard]] unserved_accounts unserved(time_point now) const;

    /// @brief accounts that this node grants tokens of
    [[nodiscard]] std::size_t ledger_count() const;

private:
    struct waiting_request
    {
        request_number request = 0;
        // it is decided by then
        time_point last;
    };

    struct account_entry
    {
        explicit account_entry(allotment_limits initial_limits)
            : limits(initial_limits)
            , holder(initial_limits)
        {
        }

        allotment_limits limits;
        allotment_holder holder;
        allotment_retry own_retry;
        std::deque<waiting_request> waiting;
        bool in_flight = false;
        bool exhausted_logged = false;
        time_point last_refusal;
        time_point last_request;
        // since when no request was granted for want of an owner
        std::optional<time_point> unserved_since;
        time_point last_unserved;
        time_point unserved_logged;
        // the owner, as it or another node has stated
        std::optional<node_name> known_owner;
        // it is not reached, so that another node is asked to pass tokens on
        bool relay = false;
        // answers in sequence of nodes that know no owner that is reached
        std::size_t misses = 0;
    };

    struct owned_account
    {
        allotment_ledger ledger;
        time_point since;
    };

    [[nodiscard]] account_entry & entry_of(account_name const & account,
                                           allotment_limits const & limits);
    /// @brief the node to ask for tokens; this one if it may own the account
    [[nodiscard]] std::optional<node_name> contact_of(
        account_name const & account, account_entry & entry, time_point now);
    /// @return null unless this node owns the account
    [[nodiscard]] allotment_ledger *
    open_ledger(account_name const & account,
                allotment_limits const & limits,
                time_point now);
    [[nodiscard]] std::optional<allotment_verdict>
    decide(account_name const & account,
           account_entry & entry,
           time_point now,
           double random,
           bool is_new,
           time_point last);
    /// @brief whether more requests wait here than the account gets tokens in
    /// the time of another one
    [[nodiscard]] static bool exceeds_tokens(account_entry const & entry,
                                             duration wait);
    /// @brief how long a request may wait for a token
    [[nodiscard]] static duration longest_wait(account_entry const & entry,
                                               duration patience,
                                               time_point now);
    [[nodiscard]] std::optional<allotment_verdict>
    decide_as_owner(account_name const & account,
                    account_entry & entry,
                    time_point now,
                    double random,
                    time_point last);
    void count(account_name const & account,
               account_entry & entry,
               allotment_verdict const & verdict,
               time_point now);
    void decide_waiting(account_name const & account,
                        account_entry & entry,
                        time_point now,
                        double random,
                        actions & todo);
    void add_asks(time_point now, actions & todo);
    void add_ballots(time_point now, actions & todo);
    void add_probes(actions & todo);
    void discard_idle(time_point now);
    void report_unserved(account_name const & account,
                         account_entry & entry,
                         time_point now);
    [[nodiscard]] std::string reason_unserved(account_name const & account,
                                              account_entry & entry,
                                              time_point now);
    [[nodiscard]] allotment_grant answer_ask(allotment_process const & from,
                                             account_name const & account,
                                             allotment_ask const & ask,
                                             time_point now);
    void relay(account_name const & account,
               allotment_limits const & limits,
               allotment_ask const & ask,
               allotment_grant & grant,
               time_point now);
    void record_grant(account_name const & account,
                      allotment_grant const & grant,
                      node_name const & from,
                      time_point sent_at,
                      time_point now);
    /// @brief takes what another node states about departures
    /// @param from whose own departure is included if it has departed
    void record_departures(node_name const & from,
                           std::vector<allotment_departure> const & departures,
                           time_point now);
    void note_contact(node_name const & node, bool reached);
    [[nodiscard]] allotment_message new_message() const;

    allotment_process self;
    allotment_options options;
    time_point started;
    limits_lookup limits_source;
    allotment_directory directory;
    allotment_election election;
    absl::btree_map<account_name, owned_account> owned;
    absl::btree_map<account_name, std::unique_ptr<account_entry>> accounts;
    // entries that poll() has to examine
    absl::btree_set<account_name> active;
    // nodes to which a message with asks is in flight
    absl::btree_set<node_name> busy_links;
    // nodes that are asked only to find out whether they answer
    absl::btree_set<node_name> probed;
    // owners that did not answer the last ask
    absl::btree_set<node_name> lost_owners;
    time_point next_maintenance;
    allotment_counters totals;
    std::vector<event> events;
};

} // namespace endivehinge

#endif
