#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_SYNC_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_SYNC_HPP

#include <array>      // array
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/coordination/replication_source.hpp>
#include <endivehinge/detail/gateway/entry_publisher.hpp>
#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>
#include <endivehinge/detail/gateway/rollout_write.hpp>
#include <endivehinge/detail/gateway/store_era_reader.hpp>
#include <endivehinge/detail/gateway/store_restore_log.hpp>
#include <endivehinge/detail/gateway/store_session.hpp>
#include <endivehinge/detail/gateway/store_snapshot_reader.hpp>
#include <endivehinge/policy/configuration_freshness.hpp>
#include <endivehinge/policy/transfer_budget.hpp>

namespace endivehinge::detail
{

/// @brief keeps this node's copy of the store up to date, from the store or
/// from other nodes
///
/// A few nodes of each failure domain replicate from the store; the others
/// replicate from one of these. Any node also pulls changes from a peer whose
/// messages carry newer versions.
/// @note thread safety: none; used on the event loop only
class replica_sync
{
public:
    replica_sync(gateway_state & shared, store_adapter const & codec);

    /// @brief starts replication
    /// @param on_configuration called when a new configuration becomes active
    /// @pre called once
    void start(std::function<void()> on_configuration);

    /// @brief publishes the current entry of this node's target
    void publish();

    /// @brief removes the entry of the target for good, because it has ended
    /// and this node stops
    void withdraw();

    /// @brief calls back once the store holds the current entry
    void when_published(std::function<void()> callback);

    /// @brief pulls changes if the versions that a peer sent are newer
    void receive_peer_versions(endpoint const & peer,
                               replica_versions const & versions);

    /// @brief responds to another node's request for changes
    void serve(exchange & incoming);

    /// @brief writes the status of a roll-out, once
    /// @param base the entry whose version is the condition of the write
    /// @param done called once
    void write_rollout_status(
        rollout_entry const & base,
        rollout_status const & status,
        std::function<void(rollout_write_result const &)> const & done);

    /// @brief whether this node, or the node that it replicates from, reaches
    /// the store
    [[nodiscard]] bool has_store_contact() const;

private:
    [[nodiscard]] bool follows_rollouts() const;
    [[nodiscard]] rollout_write_result
    read_write_response(call_result const & result);
    void learn_eras(replica_versions const & versions);
    void on_era_rise();
    [[nodiscard]] bool
    follows_earlier_history(replica_exchange const & reply) const;
    void start_source_selection();
    void query_seeds();
    void update_source();
    /// @brief whether the fleet starts for the first time, so that all nodes
    /// replicate all entries and there are no requests of clients yet
    [[nodiscard]] bool is_first_start() const;
    /// @brief whether no other node has responded lately
    [[nodiscard]] bool is_isolated() const;
    /// @brief whether the replication source failed but may be starting
    [[nodiscard]] bool awaits_source() const;
    [[nodiscard]] replication_source select_source() const;
    [[nodiscard]] std::vector<replication_candidate> candidates() const;
    [[nodiscard]] bool has_failed(endpoint const & peer) const;
    void mark_failed(endpoint const & peer, std::string const & reason);
    void pull(endpoint const & peer, bool from_source);

    /// @brief a request for changes and what came of it
    struct pull_response
    {
        endpoint peer;
        boot_time sent;
        // the configuration's text that the request named, or null
        text_history::text_pointer held_text;
        call_result result;
    };

    /// @brief versions that a node of the local failure domain has stated
    struct announcement
    {
        endpoint peer;
        replica_versions versions;
    };

    /// @param done called once
    void request_changes(endpoint const & peer,
                         std::function<void(pull_response const &)> done);
    void on_pull_response(pull_response const & response, bool from_source);
    [[nodiscard]] std::optional<replica_exchange>
    apply_pull_response(pull_response const & response, std::string & detail);
    /// @brief notes which kinds a node has deferred or sent
    void record_deferral(replica_exchange const & reply);
    /// @brief requests deferred changes again, in the end from the store
    void handle_deferral(replica_exchange const & reply);
    /// @brief queries the seeds unless the configuration arrives before
    void arm_seed_timer();
    /// @brief pulls deferred changes from a node that is likely to have them
    void pull_from_holder();
    /// @brief pulls what was announced during the last pull, if it is still
    /// missing
    void pull_announced();
    /// @brief notifies the nodes that this node passes its changes on to
    void notify_followers();
    /// @brief reads the configuration from the store if no node has sent it
    void arm_configuration_read_timer();
    /// @brief whether clients may be served by the active configuration
    [[nodiscard]] bool is_configuration_confirmed() const;
    void pull_from_random_node();
    void remove_unreachable_entry();
    /// @brief removes entries of departed targets that a restored store has
    /// again
    void remove_restored_departures();
    void remove_entry(node_name const & node, object_version expected);
    /// @brief whether the active configuration may be outdated: no node was
    /// asked yet, or one that pulls has a newer one
    [[nodiscard]] bool needs_configuration_check() const;
    [[nodiscard]] bool may_pull_for(replica_versions const & versions);
    /// @brief whether a requester has an earlier configuration than this node
    [[nodiscard]] bool
    needs_configuration(replica_versions const & requester) const;
    void arm_settle_timer();
    /// @brief ends holds whose time has passed, after a last pull if this node
    /// does not follow the store
    void settle();
    void arm_source_timer(duration delay);
    /// @return null if the replication source may stay
    [[nodiscard]] char const *
    source_fault(replica_exchange const & reply) const;
    /// @brief replaces a source, unless it was in contact to the store a moment
    /// ago
    void handle_source_fault(endpoint const & peer, char const * fault);
    /// @brief publishes again when the time to find the target has passed
    void arm_discovery_timer();
    [[nodiscard]] bool is_in_local_domain(endpoint const & peer) const;
    [[nodiscard]] duration contact_age() const;
    /// @brief what the reply of a node says about the configuration
    void record_configuration_age(replica_exchange const & reply,
                                  boot_time sent);
    /// @brief reports for how long the event loop was busy with the response
    /// that brought the active configuration
    void report_processing(copy_source const & source);
    /// @brief wakes the requests that waited for the first confirmation
    void report_confirmation(bool was_unconfirmed);
    /// @brief whether the store may have lost a configuration that other nodes
    /// still have, and none was asked yet
    [[nodiscard]] bool may_miss_lost_configuration() const;
    [[nodiscard]] std::optional<duration> configuration_age() const;

    gateway_state & state;
    store_adapter const & adapter;
    upstream store;
    store_era_reader eras;
    store_restore_log restores;
    fleet_replica replica;
    store_snapshot_reader snapshot;
    // expires with this object; calls that end later are ignored
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
    // limits the responses of serve()
    transfer_budget budget;
    store_session session;
    entry_publisher publisher;
    boost::asio::steady_timer seed_timer;
    boost::asio::steady_timer source_timer;
    boost::asio::steady_timer remote_pull_timer;
    // ends the holds of a restored list
    boost::asio::steady_timer settle_timer;
    boost::asio::steady_timer discovery_timer;
    boost::asio::steady_timer deferral_timer;
    boost::asio::steady_timer configuration_read_timer;
    // indexed by object_kind: a node has changes and has not sent them
    std::array<bool, object_kind_count> deferred_kinds{};
    // of the first response since which any kind is deferred
    std::optional<time_point> deferred_since;
    // the last one during the pull in progress
    std::optional<announcement> announced;
    bool discovery_pending = false;
    // whether this process has known a target beside it
    bool has_had_target = false;
    // the entry was removed for good
    bool withdrawn = false;
    bool remote_pull_pending = false;
    bool pulling = false;
    bool selecting_source = false;
    time_point started_at;
    // whether any node was asked for its copies
    bool has_pulled = false;
    // whether any node with a confirmed configuration has responded
    bool has_confirmed_reply = false;
    configuration_freshness freshness;
    // last response of any node to a pull
    time_point last_pull_response;
    // last response of the store to this node or to its replication source
    time_point last_store_response;
    // until then the replication source counts as connected to the store
    time_point source_contact_until;
    // the present source was found without contact to the store and is pulled
    // once more
    bool source_rechecked = false;
    // a pull before holds end is in progress
    bool settle_pull_pending = false;
    // until then, no pull for a newer configuration alone
    time_point next_configuration_pull;
    // newest version of a configuration that a requester of changes has
    std::uint64_t newest_requester_configuration = 0;
    // nodes that are excluded as replication source, and until when
    absl::flat_hash_map<endpoint, time_point> failed_until;
};

} // namespace endivehinge::detail

#endif
