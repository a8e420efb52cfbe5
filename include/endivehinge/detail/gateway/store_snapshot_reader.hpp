#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_SNAPSHOT_READER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_SNAPSHOT_READER_HPP

#include <array>      // array
#include <functional> // function
#include <optional>   // optional
#include <string>     // string

#include <endivehinge/core/boot_clock.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>
#include <endivehinge/detail/gateway/store_era_reader.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief reads all objects once
///
/// When a process starts, it accepts data that is a few seconds old: such reads
/// cost the store little, so that a whole fleet may start at the same time. The
/// replica receives later changes from a replication source or a store_session.
/// @note thread safety: none; used on the event loop only
class store_snapshot_reader
{
public:
    store_snapshot_reader(upstream & connections,
                          store_adapter const & codec,
                          event_log & events,
                          store_era_reader & era_reader,
                          fleet_replica & local_replica);

    /// @brief sets the action to run when the replica has the configuration
    /// that the store had when the request was sent
    void on_current_configuration(std::function<void(boot_time)> new_callback);

    /// @brief reads objects into the replica; does nothing if a read is in
    /// progress
    /// @param wanted_kinds indexed by object_kind
    /// @param freshness of the configuration and evacuations; targets may
    /// always be stale, roll-outs never
    /// @param done called once, after the last response or failure, if any kind
    /// is read
    void read(std::array<bool, object_kind_count> const & wanted_kinds,
              read_freshness freshness,
              std::function<void()> done);

    /// @brief whether a read is in progress, so that another is ignored
    [[nodiscard]] bool is_reading() const;

private:
    void list(object_kind kind, std::string const & after);
    void on_response(object_kind kind, call_result const & result);
    [[nodiscard]] std::optional<store_page> read_page(
        object_kind kind, call_result const & result, std::string & detail);
    void finish(object_kind kind, call_result const & result);
    [[nodiscard]] read_freshness freshness_of(object_kind kind) const;

    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    store_era_reader & eras;
    fleet_replica & replica;
    std::function<void()> callback;
    std::array<object_changes, object_kind_count> pages;
    read_freshness wanted_freshness = read_freshness::current;
    std::size_t pending_kinds = 0;
    std::function<void(boot_time)> configuration_callback = [](boot_time) {};
    // when the first page of the configuration was requested
    boot_time configuration_sent_at;
};

} // namespace endivehinge::detail

#endif
