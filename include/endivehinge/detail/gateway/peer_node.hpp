#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP

#include <cstdint>    // uint32_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <absl/container/btree_map.h>  // btree_map
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/target_runner.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief another node, and through it the target beside it
///
/// One HTTP request carries one request; closing its connection withdraws it.
/// @note thread safety: none; used on the event loop only
class peer_node final : public target_runner
{
public:
    using versions_handler =
        std::function<void(endpoint const &, replica_versions const &)>;

    /// @param self what each request tells of this node; outlives the peer
    /// @param on_versions is told the versions of the peer's copies of the
    /// store, with each response
    peer_node(boost::asio::io_context & loop,
              endpoint const & address,
              hop_sender const & self,
              versions_handler on_versions,
              event_log & log);

    [[nodiscard]] cancel_action run(dispatch_request request,
                                    result_handler done) override;

    /// @brief sends a request that is not to run on a target
    /// @param done called once
    void call(request_message message,
              duration timeout,
              client_connection::result_handler done);

    /// @brief does the same on a new connection, for an open one may be silent
    void call_fresh(request_message message,
                    duration timeout,
                    client_connection::result_handler done);

    /// @brief whether the node could not be reached; it is checked until it
    /// can, and gets no requests meanwhile
    [[nodiscard]] bool is_suspended() const;

    /// @brief for how long it could not be reached; 0 while it can
    [[nodiscard]] duration unreachable_duration() const;

    /// @brief the last load that was heard, and when
    [[nodiscard]] std::optional<target_load> const & load() const;
    [[nodiscard]] time_point load_time() const;

    /// @brief requests sent there after the last load was heard
    [[nodiscard]] std::uint32_t sent_since() const;

    /// @brief share of recent requests there that failed, 0 to 1
    [[nodiscard]] double failure_share() const;

private:
    // a request that is on its way
    struct flight
    {
        std::shared_ptr<client_connection> connection;
        std::function<void(call_result)> finish;
        time_point sent;
        bool idempotent = false;
    };

    void send(request_message message,
              duration timeout,
              bool fresh,
              client_connection::result_handler done);
    [[nodiscard]] dispatch_result read_result(call_result result);
    [[nodiscard]] std::string name_of(std::uint64_t number) const;
    void land(std::uint64_t number, call_result result);
    void suspend(std::string const & why);
    void check_later();
    void check();
    void arm_watchdog();
    void watchdog();
    void query_flights();
    void queried(std::vector<std::uint64_t> const & asked,
                 call_result const & result);
    void lose_flight(std::uint64_t number);
    void note(dispatch_result const & result, call_status status);

    boost::asio::io_context & io;
    endpoint peer;
    hop_sender const & sender;
    upstream connections;
    versions_handler versions_action;
    event_log & events;
    std::optional<target_load> last_load;
    time_point load_heard;
    bool suspended = false;
    time_point suspended_since;
    bool checking = false;
    std::uint32_t failed_checks = 0;
    boost::asio::steady_timer check_timer;
    boost::asio::steady_timer watchdog_timer;
    bool watching = false;
    // when anything was received from the node
    time_point heard;
    std::uint64_t last_flight = 0;
    absl::btree_map<std::uint64_t, flight> flights;
    std::uint32_t sent = 0;
    double failures = 0;
};

} // namespace endivehinge::detail

#endif
