#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_EXCHANGE_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/allotment_message.hpp>
#include <endivehinge/policy/allotment_response.hpp>

namespace endivehinge::detail
{

/// @brief the format of the messages about allotments between nodes
/// @note thread safety: any thread
struct allotment_exchange
{
    // of a response; 64 accounts with names of 256 characters
    static constexpr std::size_t max_response_bytes = 65536;

    /// @brief whether a request of another node is about allotments
    [[nodiscard]] static bool is_request(request_message const & message);

    [[nodiscard]] static request_message
    write_request(allotment_message const & message);

    /// @param reason set to invalid_message on error
    /// @return no value if the body is invalid
    [[nodiscard]] static std::optional<allotment_message>
    read_request(request_message const & message, failure & reason);

    /// @brief writes the body of a response
    [[nodiscard]] static std::string
    write_response(allotment_response const & response);

    /// @param reason set to invalid_message on error
    /// @return no value if the body is invalid
    [[nodiscard]] static std::optional<allotment_response>
    read_response(std::string const & body, failure & reason);
};

} // namespace endivehinge::detail

#endif
