#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CALL_RESULT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CALL_RESULT_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief final state of an HTTP call
enum class call_status
{
    answered,        // a complete response was received
    not_sent,        // no byte of the request was sent
    no_connection,   // not sent: the own limit on connections is reached
    connection_lost, // sent, but the connection ended before a complete
                     // response
    timed_out,       // sent, but no complete response before the deadline
};

/// @brief result of one HTTP call
struct call_result
{
    call_status status = call_status::not_sent;
    response_message response;
    // whether a byte of the response was received
    bool response_started = false;
    // whether the server's system refused the connection, which no process
    // accepts then
    bool connection_refused = false;
    // when the request was sent; the server's state is not older
    time_point sent;
    // of the complete response, and the time from its first byte to its end
    time_point received;
    duration transfer{0};
    // error description; empty if a response was received
    std::string detail;
};

} // namespace endivehinge::detail

#endif
