#ifndef ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP

#include <array>      // array
#include <functional> // function
#include <optional>   // optional

#include <endivehinge/coordination/object_copy.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>
#include <endivehinge/detail/gateway/restored_copy.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief this node's copy of the store, decoded into a fleet view
/// @note thread safety: none; used on the event loop only
class fleet_replica
{
public:
    struct handlers
    {
        std::function<void()> configuration;
        std::function<void()> evacuations;
        // the stored entry of this node's target
        std::function<void(std::optional<target_entry>, object_version)> entry;
        // the versions of all copies, after each change
        std::function<void(replica_versions const &)> versions;
        // a list of a newer era replaced a copy
        std::function<void(restored_copy const &)> restored;
    };

    fleet_replica(fleet_view & decoded_view,
                  store_adapter const & codec,
                  event_log & events,
                  node_name own_node);

    /// @brief sets the callbacks for changes
    void on_change(handlers new_callbacks);

    /// @brief applies changes to the objects of one kind
    /// @param source names the store or the node that sent them, for the log
    void apply(object_kind kind,
               object_changes const & changes,
               std::string const & source);

    /// @brief the versions of the copies
    [[nodiscard]] replica_versions versions() const;

    /// @brief the stored object of a node's target, or null
    [[nodiscard]] replicated_object const *
    find_target(node_name const & name) const;

    /// @brief the changes that a copy at an older version is missing
    [[nodiscard]] object_changes
    changes_since(object_kind kind, object_version base_version) const;

private:
    [[nodiscard]] object_copy & copy_of(object_kind kind);
    void report_restore(object_kind kind,
                        object_version old_version,
                        object_changes const & updates,
                        std::string const & source) const;
    void decode_configuration(object_changes const & updates,
                              std::string const & source);
    void decode_evacuations(object_changes const & updates,
                            std::string const & source);
    void decode_targets(object_changes const & updates);
    void decode_target(replicated_object const & object,
                       object_version version);

    fleet_view & view;
    store_adapter const & adapter;
    event_log & log;
    node_name node;
    handlers callbacks;
    std::array<object_copy, object_kind_count> copies;
};

} // namespace endivehinge::detail

#endif
