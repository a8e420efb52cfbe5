#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ENTRY_PUBLISHER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ENTRY_PUBLISHER_HPP

#include <functional> // function
#include <optional>   // optional
#include <vector>     // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief keeps the entry of this node's target in the store as it should be
///
/// Writes under the condition of the version that was read; a write whose
/// response is lost is written again, which its condition makes harmless.
/// @note thread safety: none; used on the event loop only
class entry_publisher
{
public:
    entry_publisher(boost::asio::io_context & loop,
                    upstream & connections,
                    store_adapter const & codec,
                    event_log & events,
                    node_name own,
                    std::function<double()> chance);

    /// @brief what the store should hold; nothing: no entry
    void publish(std::optional<target_entry> wanted);

    /// @brief what the store holds, by a list or a watch
    void observed(std::optional<target_entry> held, object_version version);

    /// @brief calls back once the store holds what should be held
    void when_published(std::function<void()> action);

private:
    [[nodiscard]] bool is_published() const;
    void write();
    void written(call_result result);
    void take(replicated_object const & object);
    void retry();
    void notify();

    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    node_name node;
    std::function<double()> random;
    boost::asio::steady_timer timer;
    std::optional<target_entry> desired;
    std::optional<target_entry> stored;
    object_version stored_version;
    // the newest state of the store that a list or watch has shown
    object_version newest_seen;
    // what the write in progress makes the store hold
    std::optional<target_entry> in_progress;
    // nothing was wanted so far: an entry of an earlier process stays
    bool decided = false;
    bool has_seen_store = false;
    bool timer_armed = false;
    bool writing = false;
    std::uint32_t failures = 0;
    std::vector<std::function<void()>> waiting;
};

} // namespace endivehinge::detail

#endif
