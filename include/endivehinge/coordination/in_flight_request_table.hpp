#ifndef ENDIVEHINGE_COORDINATION_IN_FLIGHT_REQUEST_TABLE_HPP
#define ENDIVEHINGE_COORDINATION_IN_FLIGHT_REQUEST_TABLE_HPP

#include <cstddef> // size_t
#include <deque>   // deque
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

namespace endivehinge
{

/// @brief the state of a request received from another node
enum class in_flight_request_state
{
    in_progress, // waiting or running
    ended,       // answered or cancelled
    fenced,      // not received; it is rejected if it arrives later
};

/// @brief answers queries about requests whose connection has gone silent
///
/// Querying a request that has not arrived fences it: it is rejected on
/// arrival, so that the answer "not received" stays true.
/// @note pure; thread safety: none, the owner serialises calls
class in_flight_request_table
{
public:
    /// @param history_limit the number of ended and fenced requests that are
    ///        kept; the oldest are dropped first
    explicit in_flight_request_table(std::size_t history_limit = 2048);

    /// @brief registers a received request
    /// @return whether it may run; false if it was fenced or is a duplicate
    [[nodiscard]] bool begin(std::string const & id);

    /// @brief marks a request as answered or cancelled
    void end(std::string const & id);

    /// @brief returns the state of a request; fences one that was not received
    [[nodiscard]] in_flight_request_state query(std::string const & id);

    /// @brief the number of stored requests
    [[nodiscard]] std::size_t size() const;

private:
    void record(std::string const & id, in_flight_request_state state);

    std::size_t max_history;
    absl::flat_hash_map<std::string, in_flight_request_state> states;
    // ended and fenced requests, the oldest first
    std::deque<std::string> history;
};

} // namespace endivehinge

#endif
