#ifndef ENDIVEHINGE_ADAPTERS_HTTP_CURL_TRANSFER_HPP
#define ENDIVEHINGE_ADAPTERS_HTTP_CURL_TRANSFER_HPP

#include <cstddef> // size_t

#include <endivehinge/detail/http/http_client.hpp>

#include "curl_channel.hpp"

namespace endivehinge::detail
{

/// @brief what curl has told of the exchange in progress
struct curl_transfer
{
    http_response response;
    std::size_t response_bound_bytes = 0;
    // times that curl was about to send the request
    int sends = 0;
    bool too_large = false;
    // whether the end of the body can be told from a lost connection
    bool has_length = false;
};

/// @brief the header lines to send for a request
[[nodiscard]] header_list make_header_list(http_request const & request);

/// @brief sets everything of an exchange but its header lines
/// @param state outlives the exchange
void prepare_transfer(CURL * easy,
                      endpoint const & peer,
                      http_request const & request,
                      http_exchange_options const & options,
                      http_client_limits const & limits,
                      curl_transfer & state);

/// @brief whether the response is there from its first to its last byte
/// @param request what it answers
[[nodiscard]] bool is_whole(curl_transfer const & state,
                            http_request const & request);

/// @brief why an exchange gave no response
[[nodiscard]] failure_id classify_transfer(CURLcode code,
                                           curl_transfer const & state);

} // namespace endivehinge::detail

#endif
