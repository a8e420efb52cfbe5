#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_SNAPSHOT_READER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_SNAPSHOT_READER_HPP

#include <array>      // array
#include <functional> // function

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief reads all objects once when the process starts
///
/// Accepts data that is a few seconds old: such reads cost the store little, so
/// that a whole fleet may start at the same time. The replica receives later
/// changes from a replication source or a store_session.
/// @note thread safety: none; used on the event loop only
class store_snapshot_reader
{
public:
    store_snapshot_reader(upstream & connections,
                          store_adapter const & codec,
                          event_log & events,
                          fleet_replica & local_replica);

    /// @brief reads every kind of object into the replica
    /// @param done called once, after the last response or failure
    /// @pre called once
    void read(std::function<void()> done);

private:
    void list(object_kind kind, std::string const & after);
    void on_response(object_kind kind, call_result const & result);
    void finish(object_kind kind);

    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    fleet_replica & replica;
    std::function<void()> callback;
    std::array<object_changes, object_kind_count> pages;
    std::size_t pending_kinds = object_kind_count;
};

} // namespace endivehinge::detail

#endif
