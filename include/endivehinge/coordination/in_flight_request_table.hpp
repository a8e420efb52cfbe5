#ifndef ENDIVEHINGE_COORDINATION_IN_FLIGHT_REQUEST_TABLE_HPP
#define ENDIVEHINGE_COORDINATION_IN_FLIGHT_REQUEST_TABLE_HPP

#include <cstddef> // size_t
#include <deque>   // deque
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

namespace endivehinge
{

/// @brief what a node knows of one request that another node sent it
enum class in_flight_request_state
{
    in_progress, // it waits or runs
    ended,       // it was answered
    fenced,      // it never came; it is refused if it comes now
};

/// @brief answers what became of requests whose connection went silent
///
/// A request that was asked for before it came is refused when it comes, so
/// the answer "never came" stays true.
/// @note pure; thread safety: none, the owner serialises
class in_flight_request_table
{
public:
    /// @param remembered ended and fenced requests; the oldest are forgotten
    explicit in_flight_request_table(std::size_t remembered = 2048);

    /// @brief a request came in
    /// @return whether it may run: it was not fenced
    [[nodiscard]] bool begin(std::string const & flight);

    /// @brief it was answered or withdrawn
    void end(std::string const & flight);

    /// @brief what became of a request; one that never came is fenced
    [[nodiscard]] in_flight_request_state query(std::string const & flight);

    /// @brief requests that are known
    [[nodiscard]] std::size_t size() const;

private:
    void remember(std::string const & flight, in_flight_request_state state);

    std::size_t remembered_flights;
    absl::flat_hash_map<std::string, in_flight_request_state> flights;
    // ended and fenced ones, the oldest first
    std::deque<std::string> order;
};

} // namespace endivehinge

#endif
