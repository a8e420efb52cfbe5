#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_SESSION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_SESSION_HPP

#include <array>      // array
#include <functional> // function
#include <memory>     // shared_ptr
#include <vector>     // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/core/boot_clock.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_replica.hpp>
#include <endivehinge/detail/gateway/store_era_reader.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief replicates from the store: lists each object kind, then watches it
///
/// Lists again after a failed watch, or if the store no longer has the history
/// since the requested version. Lists all kinds again after a restore of the
/// store. After a failure it retries with a single kind
/// and increasing delay, and resumes the other kinds once the store responds.
/// @note thread safety: none; used on the event loop only
class store_session
{
public:
    /// @param kinds_to_follow contains the configuration, which shows whether
    /// the store responds
    store_session(boost::asio::io_context & loop,
                  upstream & connections,
                  store_adapter const & codec,
                  event_log & events,
                  store_era_reader & era_reader,
                  fleet_replica & local_replica,
                  std::vector<object_kind> kinds_to_follow,
                  std::function<double()> random_source);

    /// @brief called when the store has returned the current configuration
    /// @note its parameters: when the request was sent, and how long the store
    /// was asked to hold it without a change; 0 unless there was none
    using confirmation_handler = std::function<void(boot_time, duration)>;

    /// @brief sets the action to run when the replica has the configuration
    /// that the store had confirmed
    void on_current_configuration(confirmation_handler new_callback);

    /// @brief starts replicating; does nothing if already active
    void start();

    /// @brief cancels all calls and stops replicating
    void stop();

    /// @brief lists all kinds again, once; does nothing unless active
    ///
    /// Needed when the era of the store rose: positions of an earlier era mean
    /// nothing to the store.
    void resynchronize();

    /// @brief whether the session is started, connected or not
    [[nodiscard]] bool is_active() const;

    /// @brief whether the session is active and no call failed since the last
    /// successful response
    [[nodiscard]] bool is_connected() const;

    /// @brief time of the last successful response of the store
    [[nodiscard]] time_point last_response_time() const;

private:
    struct kind_state
    {
        std::shared_ptr<client_connection> connection;
        object_changes pages;
        // of the last request, and of that for the first page
        boot_time sent_at;
        boot_time list_sent_at;
        bool synchronizing = false;
        // consecutive responses that the history since the version is gone
        std::uint32_t lost_histories = 0;
    };

    [[nodiscard]] kind_state & state_of(object_kind kind);
    void synchronize(object_kind kind);
    void list(object_kind kind, std::string const & after);
    void on_list_response(object_kind kind, call_result const & result);
    /// @brief lists after a delay that grows with each lost history in a row
    void list_later(object_kind kind);
    void watch(object_kind kind);
    void run_later(object_kind kind,
                   duration delay,
                   void (store_session::*action)(object_kind));
    void list_all(object_kind kind);
    [[nodiscard]] object_version version_of(object_kind kind) const;
    [[nodiscard]] duration retry_delay(std::uint32_t failures);
    void on_watch_response(object_kind kind, call_result const & result);
    void send(object_kind kind,
              request_message message,
              duration timeout,
              void (store_session::*on_response)(object_kind,
                                                 call_result const &));
    [[nodiscard]] std::optional<store_page>
    read_page(object_kind kind, call_result const & result);
    void record_success();
    void record_failure(object_kind kind, std::string const & reason);
    void confirm(object_kind kind, boot_time sent, duration hold) const;
    void cancel_calls();

    boost::asio::io_context & io;
    upstream & store;
    store_adapter const & adapter;
    event_log & log;
    store_era_reader & eras;
    fleet_replica & replica;
    std::vector<object_kind> followed_kinds;
    std::function<double()> random;
    confirmation_handler configuration_callback = [](boot_time, duration) {};
    boost::asio::steady_timer retry_timer;
    std::array<kind_state, object_kind_count> kinds;
    // incremented when calls are cancelled, so that late callbacks are ignored
    std::uint64_t generation = 0;
    bool active = false;
    bool connected = false;
    std::uint32_t consecutive_failures = 0;
    // era of the response that is being handled
    store_era response_era;
    time_point last_response;
};

} // namespace endivehinge::detail

#endif
