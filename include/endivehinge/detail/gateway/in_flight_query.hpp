#ifndef ENDIVEHINGE_DETAIL_GATEWAY_IN_FLIGHT_QUERY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_IN_FLIGHT_QUERY_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/in_flight_request_table.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief the question what became of requests, and its answer
/// @note thread safety: any thread
struct in_flight_query
{
    [[nodiscard]] static bool is_request(request_message const & message);

    /// @brief asks for requests; none: asks whether the node answers
    [[nodiscard]] static request_message
    write_request(std::vector<std::string> const & flights);

    /// @brief answers by a table, which fences what never came
    [[nodiscard]] static response_message
    answer(request_message const & message, in_flight_request_table & table);

    /// @brief the states, in the order of the question
    /// @return nothing where the response does not hold
    [[nodiscard]] static std::optional<std::vector<in_flight_request_state>>
    read(response_message const & message, std::size_t asked);
};

} // namespace endivehinge::detail

#endif
