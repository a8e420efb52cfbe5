#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HEAD_VERDICT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HEAD_VERDICT_HPP

#include <cstdint>  // uint64_t
#include <limits>   // numeric_limits
#include <optional> // optional

#include <boost/beast/http/status.hpp> // status

namespace endivehinge::detail
{

/// @brief what the head of a request says about its body
struct head_verdict
{
    // status of the response if the request is refused without its body
    std::optional<boost::beast::http::status> refusal;
    // a longer body is refused; the limit of the listener applies as well
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
};

} // namespace endivehinge::detail

#endif
