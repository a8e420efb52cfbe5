#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CALL_OPTIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CALL_OPTIONS_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief options of one HTTP call
struct call_options
{
    // the call fails if it is not complete at this time, and without a progress
    // limit also if the response is still arriving
    time_point deadline;
    // while bytes of the response arrive, the deadline is not earlier than this
    // long after the last of them; 0: the deadline does not move. For responses
    // whose length, and with it their time on a slow link, has no bound
    duration progress_limit{0};
    // limit for connection establishment, which the deadline limits as well
    duration connect_timeout = std::chrono::milliseconds(500);
    // name of the response header that identifies the request; a response with
    // another value answers an earlier request and is dropped. An empty name
    // disables the check
    std::string id_field;
    // no value: the request has no ID, and neither has its response
    std::optional<std::string> id_value;
    // body size, instead of the limit in the connection's options; a larger
    // response fails the call
    std::optional<std::uint64_t> max_response_bytes;
};

} // namespace endivehinge::detail

#endif
