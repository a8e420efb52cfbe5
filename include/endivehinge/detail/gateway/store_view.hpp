#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_VIEW_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_VIEW_HPP

#include <functional> // function
#include <string>     // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/detail/gateway/entry_publisher.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/kind_watch.hpp>

namespace endivehinge::detail
{

/// @brief brings what the store holds into the fleet view, and this node's
/// target into the store
/// @note thread safety: none; used on the event loop only
class store_view
{
public:
    store_view(gateway_state & shared, store_adapter const & codec);

    /// @brief begins
    /// @param on_configuration is called when a configuration comes into force
    /// @pre called once
    void start(std::function<void()> on_configuration);

    /// @brief the entry of this node's target has changed
    void publish();

    /// @brief calls back once the store holds the entry as it is
    void when_published(std::function<void()> action);

    /// @brief another node has a configuration of this version
    void peer_has(std::uint64_t version);

private:
    void configuration_objects(std::vector<store_object> const & objects);
    void evacuations_listed(std::vector<store_object> const & objects);
    void evacuations_changed(std::vector<store_object> const & objects);
    void apply_evacuations();
    void targets_listed(std::vector<store_object> const & objects);
    void targets_changed(std::vector<store_object> const & objects);
    void take_target(store_object const & object);

    gateway_state & state;
    store_adapter const & adapter;
    upstream store;
    kind_watch configurations;
    kind_watch evacuations;
    kind_watch targets;
    entry_publisher publisher;
    std::function<void()> configuration_action;
    absl::flat_hash_set<std::string> evacuated;
};

} // namespace endivehinge::detail

#endif
