#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_SYNC_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_SYNC_HPP

#include <functional> // function
#include <optional>   // optional
#include <string>     // string

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/coordination/replication_source.hpp>
#include <endivehinge/detail/gateway/entry_publisher.hpp>
#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/store_session.hpp>

namespace endivehinge::detail
{

/// @brief keeps this node's copy of the store up to date, by the store or by
/// other nodes
///
/// A few nodes of each failure domain follow the store; the others follow one
/// of them, and take news from every node that shows newer versions with the
/// response to a request.
/// @note thread safety: none; used on the event loop only
class replica_sync
{
public:
    replica_sync(gateway_state & shared, store_adapter const & codec);

    /// @brief begins
    /// @param on_configuration is called when a configuration comes into force
    /// @pre called once
    void start(std::function<void()> on_configuration);

    /// @brief the entry of this node's target has changed
    void publish();

    /// @brief calls back once the store holds the entry as it is
    void when_published(std::function<void()> action);

    /// @brief another node shows the versions of its copies
    void receive_peer_versions(endpoint const & peer,
                               replica_versions const & versions);

    /// @brief answers another node that asks for this node's copy
    void serve(exchange & incoming);

private:
    void review();
    [[nodiscard]] replication_source source() const;
    [[nodiscard]] bool has_failed(endpoint const & peer) const;
    void mark_failed(endpoint const & peer, std::string const & why);
    void pull(endpoint const & peer, bool from_source);
    void pulled(endpoint const & peer, bool from_source, call_result result);
    void ask_any_node();
    void remove_vanished();
    [[nodiscard]] bool in_contact() const;
    [[nodiscard]] bool is_near(endpoint const & peer) const;
    [[nodiscard]] duration age() const;

    gateway_state & state;
    store_adapter const & adapter;
    upstream store;
    fleet_replica replica;
    store_session session;
    entry_publisher publisher;
    boost::asio::steady_timer review_timer;
    boost::asio::steady_timer far_timer;
    bool far_pending = false;
    bool pulling = false;
    // when the store answered, to this node or one that it follows
    time_point confirmed;
    // the node that is followed said that it has contact, until then
    time_point contact_until;
    // nodes that are not followed until then
    absl::flat_hash_map<endpoint, time_point> failed_until;
};

} // namespace endivehinge::detail

#endif
