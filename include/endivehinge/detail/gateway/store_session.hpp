#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_SESSION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_SESSION_HPP

#include <array>      // array
#include <functional> // function
#include <memory>     // shared_ptr
#include <vector>     // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief follows the store: lists each kind, then watches it
///
/// Lists again where the store no longer has the history of a version, or a
/// watch failed. A store that fails is asked for one kind after a growing
/// pause, and for the others once it answers.
/// @note thread safety: none; used on the event loop only
class store_session
{
public:
    store_session(boost::asio::io_context & loop,
                  upstream & connections,
                  store_adapter const & codec,
                  event_log & events,
                  fleet_replica & copies,
                  std::function<double()> chance);

    /// @brief begins to follow; nothing where it does already
    void start();

    /// @brief ends all calls
    void stop();

    /// @brief whether it follows the store, or tries to
    [[nodiscard]] bool is_active() const;

    /// @brief whether the store answered the last call
    [[nodiscard]] bool is_connected() const;

    /// @brief when the store last answered
    [[nodiscard]] time_point confirmed() const;

private:
    struct kind_state
    {
        std::shared_ptr<client_connection> call;
        object_changes pages;
        bool following = false;
    };

    [[nodiscard]] kind_state & state_of(object_kind kind);
    void follow(object_kind kind);
    void list(object_kind kind, std::string const & after);
    void listed(object_kind kind, call_result const & result);
    void watch(object_kind kind);
    void watched(object_kind kind, call_result const & result);
    void send(object_kind kind,
              request_message message,
              duration timeout,
              void (store_session::*done)(object_kind, call_result const &));
    [[nodiscard]] std::optional<store_page>
    read_page(call_result const & result);
    void succeeded();
    void failed(object_kind kind, std::string const & why);
    void cancel_calls();

    boost::asio::io_context & io;
    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    fleet_replica & replica;
    std::function<double()> random;
    boost::asio::steady_timer retry_timer;
    std::array<kind_state, object_kind_count> kinds;
    // calls and pauses of an earlier start are ignored
    std::uint64_t generation = 0;
    bool active = false;
    bool connected = false;
    std::uint32_t failures = 0;
    time_point last_answer;
};

} // namespace endivehinge::detail

#endif
