#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CALL_OPTIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CALL_OPTIONS_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief bounds of one call
struct call_options
{
    // the call is given up at this time
    time_point deadline;
    // for the connection to be established; the deadline bounds it as well
    duration connect_timeout = std::chrono::milliseconds(500);
    // a response with another value in this field belongs to an earlier
    // request and is dropped; empty: every response is taken
    std::string id_field;
    std::string id_value;
};

} // namespace endivehinge::detail

#endif
