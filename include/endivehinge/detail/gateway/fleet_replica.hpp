#ifndef ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP

#include <array>      // array
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/coordination/object_copy.hpp>
#include <endivehinge/coordination/restored_list_merge.hpp>
#include <endivehinge/coordination/text_history.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/copy_source.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>
#include <endivehinge/detail/gateway/restored_copy.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief this node's copy of the store, decoded into a fleet view
///
/// The copies always follow the store. After a restore of the store from an
/// older copy, the view keeps the newer state that this node knew for a while,
/// and the newest configuration for good.
/// @note thread safety: none; used on the event loop only
class fleet_replica
{
public:
    struct handlers
    {
        std::function<void()> configuration;
        // the source of the configuration that has become active
        std::function<void(copy_source const &)> copied =
            [](copy_source const &) {};
        std::function<void()> evacuations;
        // the stored entry of this node's target
        std::function<void(std::optional<target_entry>, object_version)> entry;
        // called with each entry that was read, the own one included
        std::function<void(target_entry const &)> any_entry;
        // the versions of all copies, after each change
        std::function<void(replica_versions const &)> versions;
        // a list of a newer era replaced a copy
        std::function<void(restored_copy const &)> restored;
        // next_settle_time() has changed
        std::function<void()> settling;
    };

    /// @param replicate_rollouts whether roll-outs are in force
    fleet_replica(fleet_view & decoded_view,
                  store_adapter const & codec,
                  event_log & events,
                  node_name own_node,
                  bool replicate_rollouts);

    /// @brief sets the callbacks for changes
    void on_change(handlers new_callbacks);

    /// @brief applies changes to the objects of one kind
    void apply(object_kind kind,
               object_changes const & changes,
               copy_source const & source);

    /// @brief ends the holds of a restored list whose time has passed, so that
    /// the store's state counts
    void settle(time_point now);

    /// @brief when to call settle(); empty if no hold ends by itself
    [[nodiscard]] std::optional<time_point> next_settle_time() const;

    /// @brief entries of departed targets that a restored store has again
    /// @param domain the failure domain of this node; entries of others are
    /// left to their nodes at first
    /// @return valid until the next call of a non-const function
    [[nodiscard]] std::vector<replicated_object const *>
    departures_to_remove(failure_domain const & domain, time_point now) const;

    /// @brief the versions of the copies and of the active configuration
    [[nodiscard]] replica_versions versions() const;

    /// @brief the version of the copy of one kind
    [[nodiscard]] object_version version_of(object_kind kind) const;

    /// @brief the stored object of a node's target, or null
    [[nodiscard]] replicated_object const *
    find_target(node_name const & name) const;

    /// @brief the last texts of the active configuration
    [[nodiscard]] text_history & configuration_texts();

    /// @brief the changes that a copy at an older version is missing; with the
    /// active configuration even if the store has an earlier one
    [[nodiscard]] object_changes
    changes_since(object_kind kind, object_version base_version) const;

private:
    [[nodiscard]] object_copy & copy_of(object_kind kind);
    [[nodiscard]] object_copy const & copy_of(object_kind kind) const;
    [[nodiscard]] restored_list_merge & merge_of(object_kind kind);
    /// @brief applies changes to the copy and reports its position
    [[nodiscard]] object_changes apply_to_copy(object_kind kind,
                                               object_changes const & changes,
                                               std::string const & source);
    /// @brief applies changes to the copy
    /// @return those that affect the view
    [[nodiscard]] object_changes update_copy(object_kind kind,
                                             object_changes const & changes,
                                             std::string const & source);
    void report_restore(object_kind kind,
                        object_version old_version,
                        object_changes const & updates,
                        std::string const & source) const;
    void record_changes(object_kind kind, object_changes const & updates);
    void merge_restored_list(object_kind kind,
                             std::vector<restored_object> objects,
                             object_changes const & updates,
                             std::string const & source);
    [[nodiscard]] std::vector<restored_object>
    compare_with_copy(object_kind kind, object_changes const & changes) const;
    [[nodiscard]] object_digest digest_of(object_kind kind,
                                          replicated_object const & object,
                                          object_version version) const;
    /// @brief whether it is the entry of a target that has left
    [[nodiscard]] bool
    names_departed_target(object_kind kind,
                          replicated_object const & object) const;
    [[nodiscard]] bool is_own_entry(object_kind kind,
                                    std::string const & name) const;
    void decode(object_kind kind,
                object_changes const & updates,
                std::string const & source);
    void apply_configuration(object_changes const & changes,
                             copy_source const & source);
    [[nodiscard]] std::optional<replicated_object> newest_configuration() const;
    /// @return whether the object takes the place of the newest configuration
    bool decode_configuration(replicated_object const & object,
                              copy_source const & source);
    void decode_evacuations(object_changes const & updates,
                            std::string const & source);
    void decode_rollouts(object_changes const & updates,
                         std::string const & source);
    void decode_rollout(replicated_object const & object,
                        std::string const & source);
    void log_rollout(known_rollout const & known,
                     std::string const & source) const;
    void decode_targets(object_changes const & updates);
    void decode_target(replicated_object const & object,
                       object_version version);

    fleet_view & view;
    store_adapter const & adapter;
    event_log & log;
    node_name node;
    bool follows_rollouts;
    handlers callbacks;
    std::array<object_copy, object_kind_count> copies;
    std::array<restored_list_merge, object_kind_count> merges;

    struct rollout_conclusion
    {
        rollout_status status;
        // of the store's answer that contained it
        store_era era;
    };

    // the conclusions that the store showed; after a restore from a copy
    // without them they stay in force
    absl::flat_hash_map<service_name, rollout_conclusion> conclusions;
    // when the last restored list of targets was applied
    time_point targets_restored_at;
    // name of the object that holds the configuration
    std::string configuration_name;
    text_history texts;
    // the newest configuration while the copy has an earlier one or none
    std::optional<replicated_object> retained_configuration;
};

} // namespace endivehinge::detail

#endif
