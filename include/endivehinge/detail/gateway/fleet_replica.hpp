#ifndef ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_FLEET_REPLICA_HPP

#include <array>      // array
#include <functional> // function
#include <optional>   // optional

#include <endivehinge/coordination/object_copy.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief this node's copy of what the store holds, decoded into a fleet view
/// @note thread safety: none; used on the event loop only
class fleet_replica
{
public:
    struct handlers
    {
        std::function<void()> configuration;
        std::function<void()> evacuations;
        // the entry of this node's target, as the store holds it
        std::function<void(std::optional<target_entry>, object_version)> entry;
        // the versions of the copies, after each change
        std::function<void(replica_versions const &)> versions;
    };

    fleet_replica(fleet_view & decoded,
                  store_adapter const & codec,
                  event_log & events,
                  node_name own);

    /// @brief sets what to do on changes
    void on_change(handlers chosen);

    /// @brief takes in changes of one kind
    /// @param from the store or another node, for the log
    void apply(object_kind kind,
               object_changes const & changes,
               std::string const & from);

    /// @brief the versions of the copies
    [[nodiscard]] replica_versions versions() const;

    /// @brief the object of a node's target, or null
    [[nodiscard]] replicated_object const *
    find_target(node_name const & name) const;

    /// @brief what a copy of an older version lacks
    [[nodiscard]] object_changes changes_since(object_kind kind,
                                               object_version older) const;

private:
    [[nodiscard]] object_copy & copy_of(object_kind kind);
    void decode_configuration(object_changes const & news,
                              std::string const & from);
    void decode_evacuations(object_changes const & news,
                            std::string const & from);
    void decode_targets(object_changes const & news);
    void decode_target(replicated_object const & object,
                       object_version version);

    fleet_view & view;
    store_adapter const & adapter;
    event_log & log;
    node_name node;
    handlers actions;
    std::array<object_copy, object_kind_count> copies;
};

} // namespace endivehinge::detail

#endif
