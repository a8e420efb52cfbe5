#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ENTRY_PUBLISHER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ENTRY_PUBLISHER_HPP

#include <functional> // function
#include <optional>   // optional
#include <vector>     // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>
#include <endivehinge/detail/gateway/store_era_reader.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief writes the entry of this node's target to the store until the store
/// holds the desired state
///
/// Each write is conditional on the version that was read, so a write whose
/// response was lost can be repeated safely. An entry that a restore of the
/// store lost or took back is written again after a random delay.
/// @note thread safety: none; used on the event loop only
class entry_publisher
{
public:
    entry_publisher(boost::asio::io_context & loop,
                    upstream & connections,
                    store_adapter const & codec,
                    event_log & events,
                    store_era_reader & era_reader,
                    node_name own_node,
                    std::function<double()> random_source);

    /// @brief sets the desired entry; nullopt removes the entry from the store
    void publish(std::optional<target_entry> desired_entry);

    /// @brief records the entry that a list or a watch of the store returned
    void record_stored(std::optional<target_entry> stored_entry,
                       object_version version);

    /// @brief calls back once the store holds the desired entry; at once if it
    /// already does
    void when_published(std::function<void()> callback);

private:
    [[nodiscard]] bool is_published() const;
    void write();
    void on_write_response(call_result result);
    void set_stored(replicated_object const & object);
    void schedule_retry();
    /// @pre no write is in progress
    void schedule_write(duration delay);
    void run_publish_callbacks();

    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    store_era_reader & eras;
    node_name node;
    std::function<double()> random;
    boost::asio::steady_timer timer;
    std::optional<target_entry> desired;
    std::optional<target_entry> stored;
    object_version stored_version;
    // highest store version that a list or watch returned
    object_version newest_seen_version;
    // the desired entry that the write in progress sends
    std::optional<target_entry> entry_being_written;
    // false until publish() is called; until then an entry that an earlier
    // process wrote is left in place
    bool has_desired_state = false;
    bool store_was_read = false;
    bool timer_armed = false;
    // also while the next write waits
    bool writing = false;
    std::uint32_t consecutive_failures = 0;
    std::vector<std::function<void()>> publish_callbacks;
};

} // namespace endivehinge::detail

#endif
