#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CALL_RESULT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CALL_RESULT_HPP

#include <string> // string

#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief how far a call got
enum class call_status
{
    answered,  // a whole response
    not_sent,  // no byte of the request left this process
    lost,      // sent, and the connection ended without a whole response
    timed_out, // sent, and no whole response in time
};

/// @brief the outcome of one call
struct call_result
{
    call_status status = call_status::not_sent;
    response_message response;
    // whether a byte of the response was received
    bool began = false;
    // why there is no response
    std::string detail;
};

} // namespace endivehinge::detail

#endif
