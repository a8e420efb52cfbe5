#ifndef ENDIVEHINGE_DETAIL_GATEWAY_KIND_WATCH_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_KIND_WATCH_HPP

#include <functional> // function
#include <memory>     // shared_ptr
#include <vector>     // vector

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief keeps this node's copy of one kind of objects up to date
///
/// Lists once, then watches from the version of the list; lists again where
/// the store no longer has that history, or a watch failed. A store that fails
/// is asked again after a growing pause.
/// @note thread safety: none; used on the event loop only
class kind_watch
{
public:
    struct handlers
    {
        // every object of the kind, after a list
        std::function<void(std::vector<store_object> const &)> listed;
        // objects that were changed or deleted
        std::function<void(std::vector<store_object> const &)> changed;
    };

    /// @param name of the kind, for the log
    kind_watch(boost::asio::io_context & loop,
               upstream & connections,
               store_adapter const & codec,
               event_log & events,
               object_kind watched,
               std::string name,
               std::function<double()> random);

    /// @brief begins to list
    /// @pre called once
    void start(handlers chosen);

    /// @brief asks the store at once, where another node knows more
    void refresh();

    /// @brief whether the last call succeeded
    [[nodiscard]] bool is_connected() const;

    /// @brief when the copy was last known to be that of the store
    [[nodiscard]] time_point confirmed() const;

    /// @brief the store's version of the copy
    [[nodiscard]] object_version version() const;

private:
    void list(std::string const & after);
    void list_response(call_result result);
    void watch();
    void watch_response(call_result result);
    void call(request_message message,
              duration timeout,
              client_connection::result_handler done);
    void failed(call_result const & result);
    void succeeded();
    void later(duration pause, std::function<void()> action);

    boost::asio::io_context & io;
    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    object_kind kind;
    std::string name;
    std::function<double()> random;
    handlers actions;
    boost::asio::steady_timer timer;
    std::shared_ptr<client_connection> active;
    std::vector<store_object> pages;
    object_version copy_version;
    bool connected = false;
    bool watching = false;
    std::uint32_t failures = 0;
    time_point last_success;
};

} // namespace endivehinge::detail

#endif
