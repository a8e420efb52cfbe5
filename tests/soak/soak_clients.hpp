#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_CLIENTS_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_CLIENTS_HPP

#include <memory> // shared_ptr
#include <random> // mt19937_64
#include <vector> // vector

#include "soak_fleet.hpp"
#include "soak_request.hpp"

namespace endivehinge::tests
{

/// @brief sends requests to the nodes and keeps what came of them
///
/// Clients go on using their open connections until these are closed.
/// @note thread safety: none; used on one event loop
class soak_clients
{
public:
    soak_clients(soak_fleet & served, std::uint64_t seed);

    /// @brief sends requests at a rate from now on
    void start(duration mean_interval);

    /// @brief sends no more
    void stop();

    /// @brief sends one request
    /// @param name the last part of the path
    std::shared_ptr<soak_request> send(std::size_t member,
                                       bool idempotent,
                                       duration time_limit,
                                       std::string const & name = "a");

    /// @brief whether each request has ended
    [[nodiscard]] bool are_done() const;

    std::vector<std::shared_ptr<soak_request>> requests;

private:
    void send_next();

    soak_fleet & fleet;
    std::mt19937_64 random;
    duration interval{0};
    bool sending = false;
};

} // namespace endivehinge::tests

#endif
