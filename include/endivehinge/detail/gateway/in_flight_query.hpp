#ifndef ENDIVEHINGE_DETAIL_GATEWAY_IN_FLIGHT_QUERY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_IN_FLIGHT_QUERY_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/in_flight_request_table.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief query to another node for the state of in-flight requests
/// @note thread safety: any thread
struct in_flight_query
{
    [[nodiscard]] static bool is_request(request_message const & message);

    /// @brief makes a query; without IDs, it only checks whether the node
    /// responds
    /// @param max_age time since the oldest of the requests was sent
    [[nodiscard]] static request_message
    write_request(std::vector<std::string> const & in_flight_ids,
                  duration max_age);

    /// @brief responds to a query, and fences the requests that have not been
    /// received so that they cannot run later
    ///
    /// An unknown request that is older than this process may have run in the
    /// process before it, so its state is given as ended.
    /// @param uptime time since this process started
    [[nodiscard]] static response_message
    answer(request_message const & message,
           in_flight_request_table & table,
           duration uptime);

    /// @brief reads the states from a response, in the order of the query
    /// @param expected_count number of IDs in the query
    /// @return no value if the response is invalid
    [[nodiscard]] static std::optional<std::vector<in_flight_request_state>>
    read(response_message const & message, std::size_t expected_count);
};

} // namespace endivehinge::detail

#endif
