#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP

#include <cstdint>    // uint32_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <absl/container/btree_map.h>     // btree_map
#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/target_runner.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief client of another node, which runs requests on that node's target
///
/// Each request is sent as one HTTP request. Closing its connection cancels it.
/// If the connection of a request is silent, the state of the request is
/// queried from the node. A node that does not respond to the query may only be
/// slow, so the request stays in flight and its silence is reported.
/// @note thread safety: none; used on the event loop only
class peer_node final : public target_runner
{
public:
    using versions_handler =
        std::function<void(endpoint const &, replica_versions const &)>;

    /// @param self sender data of each request; must outlive this object
    /// @param on_versions called with the versions of the peer's replicas for
    /// each response
    peer_node(boost::asio::io_context & loop,
              endpoint const & address,
              hop_sender const & self,
              versions_handler on_versions,
              event_log & log,
              response_registry & responses,
              connection_counter & all_peer_connections);

    [[nodiscard]] control run(dispatch_request request,
                              result_handler done,
                              silence_handler on_silence) override;

    /// @brief sends a request to the node itself, not to its target
    /// @param done called once
    void call(request_message message,
              duration timeout,
              client_connection::result_handler done);

    /// @brief like call(), for a response of any length
    /// @param limit for the response to begin, and without further bytes of it
    void transfer(request_message message,
                  duration limit,
                  client_connection::result_handler done);

    /// @brief like call(), but on a new connection, since the open connections
    /// may no longer transmit data
    void call_on_new_connection(request_message message,
                                duration timeout,
                                client_connection::result_handler done);

    /// @brief whether the node is unreachable; it is then excluded from
    /// placement and checked periodically
    [[nodiscard]] bool is_suspended() const;

    /// @brief whether the node has stated that its target is of another
    /// service than that of an entry with its address: the machine of the
    /// entry is gone, and another one has its address
    [[nodiscard]] bool has_disproved(target_id const & target) const;

    /// @brief time since the node became unreachable; 0 if it is reachable
    [[nodiscard]] duration unreachable_duration() const;

    /// @brief most recently received load of the target
    [[nodiscard]] std::optional<target_load> const & load() const;

    /// @brief time at which load() was received
    [[nodiscard]] time_point load_time() const;

    /// @brief number of requests sent since load() was received
    [[nodiscard]] std::uint32_t requests_since_load() const;

    /// @brief moving average of failed requests, from 0 to 1
    [[nodiscard]] double failure_share() const;

private:
    struct in_flight_request
    {
        std::shared_ptr<client_connection> connection;
        std::function<void(call_result)> finish;
        // empty after it was called
        silence_handler on_silence;
        time_point sent_at;
        // when the node first stated that the request is completed
        std::optional<time_point> completed_at;
    };

    void send(request_message message,
              call_options options,
              bool force_new,
              client_connection::result_handler done);
    [[nodiscard]] dispatch_result read_result(call_result result);
    [[nodiscard]] std::string in_flight_id_of(std::uint64_t sequence) const;
    void complete_request(std::uint64_t sequence, call_result result);
    void suspend(std::string const & reason);
    void schedule_check();
    void send_check();
    void arm_watchdog();
    void handle_watchdog();
    void query_in_flight_requests();
    void
    handle_query_result(std::vector<std::uint64_t> const & queried_sequences,
                        call_result const & result);
    void notify_silence(std::uint64_t sequence);
    void notify_silence_of_all();
    void handle_completed_request(std::uint64_t sequence);
    void record_failure_share(bool failed);
    void disprove(target_id const & target);
    void record_result(dispatch_result const & result, call_status status);

    boost::asio::io_context & io;
    endpoint peer;
    hop_sender const & sender;
    upstream connections;
    versions_handler versions_callback;
    event_log & events;
    // targets that the node's own statement excludes, and until when
    absl::flat_hash_map<target_id, time_point> disproved_targets;
    std::optional<target_load> last_load;
    time_point load_received;
    bool suspended = false;
    time_point suspended_since;
    bool check_scheduled = false;
    std::uint32_t failed_checks = 0;
    boost::asio::steady_timer check_timer;
    boost::asio::steady_timer watchdog_timer;
    bool watchdog_armed = false;
    time_point last_received;
    std::uint64_t last_sequence = 0;
    absl::btree_map<std::uint64_t, in_flight_request> in_flight_requests;
    std::uint32_t sent_since_load = 0;
    double recent_failure_share = 0;
};

} // namespace endivehinge::detail

#endif
