#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HEALTH_PROBER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HEALTH_PROBER_HPP

#include <cstdint>    // uint64_t
#include <functional> // function
#include <string>     // string

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief sends health probes to a target, periodically and on demand
/// @note thread safety: none; used on the event loop only
class health_prober
{
public:
    using response_handler = std::function<void(call_result const &)>;

    /// @param id_field the response header that identifies a request, which
    /// responses to probes do not have
    health_prober(boost::asio::io_context & loop,
                  endpoint const & target,
                  std::string id_field,
                  response_registry & responses);

    /// @brief sets the probe path; an empty path disables probes
    void set_path(std::string const & health_path);

    /// @brief sends further probes to another address
    void set_address(endpoint const & target);

    /// @brief starts periodic probes
    /// @param on_response called with each result
    /// @pre called once
    void start(response_handler on_response);

    /// @brief sends a probe immediately
    /// @param done called once; the probe fails after 30 ms without a response
    /// @return whether a probe was sent; otherwise done is not called
    [[nodiscard]] bool probe_now(response_handler done);

    /// @brief sends a probe immediately, for whose result requests can wait
    /// longer; it fails after 250 ms without a response
    /// @param done called once
    /// @return whether a probe was sent; otherwise done is not called
    [[nodiscard]] bool probe_patiently(response_handler done);

    /// @brief sends a probe on a new connection, which shows whether the target
    /// accepts connections
    /// @param done called once
    /// @return whether a probe was sent; otherwise done is not called
    [[nodiscard]] bool probe_new_connection(response_handler done);

    /// @brief records a response that carried the same data as a probe, which
    /// makes the next periodic probe unnecessary
    void record_response(time_point now);

    /// @brief closes all idle connections
    void close_idle();

    /// @brief number of connections opened since construction
    [[nodiscard]] std::uint64_t opened_connections() const;

private:
    void schedule();
    void probe();
    [[nodiscard]] bool
    send(duration timeout, bool force_new, response_handler done);

    // apart from the connections of requests: a response to a probe has no ID
    // and could be taken for the response to a request
    upstream server;
    endpoint address;
    std::string request_id_field;
    std::string path;
    response_handler handler;
    boost::asio::steady_timer timer;
    time_point last_response;
};

} // namespace endivehinge::detail

#endif
