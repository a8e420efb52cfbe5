#ifndef ENDIVEHINGE_DETAIL_CONTROL_CONTROL_SERVER_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_CONTROL_SERVER_HPP

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/control/configuration_handler.hpp>
#include <endivehinge/detail/control/control_limits.hpp>
#include <endivehinge/detail/control/lease_handler.hpp>
#include <endivehinge/detail/control/marks_handler.hpp>

namespace endivehinge::detail
{

/// @brief who answers which exchange; a peer that asks for what is not set
///        is told that it is unavailable
struct control_handlers
{
    configuration_handler * configuration = nullptr;
    lease_handler * lease = nullptr;
    marks_handler * marks = nullptr;
};

/// @brief the gRPC server of one node for the coordination between nodes
class control_server
{
public:
    /// @brief starts to listen
    /// @param address where; port 0 takes a free port
    /// @param handlers those that are set outlive the server
    /// @param limits bounds on messages and threads
    /// @param reason why it could not listen
    /// @note thread safety: one thread
    [[nodiscard]] static std::unique_ptr<control_server>
    start(endpoint const & address,
          control_handlers const & handlers,
          control_limits const & limits,
          failure & reason);

    control_server(control_server const &) = delete;
    control_server & operator=(control_server const &) = delete;

    /// @brief stops; cancels what is still being answered
    ~control_server();

    /// @brief the port that it listens on
    /// @note thread safety: any thread
    [[nodiscard]] std::uint16_t port() const;

    /// @brief takes no new exchange, lets the others finish
    /// @param patience after it, what still runs is cancelled
    /// @note thread safety: one thread; blocks
    void stop(duration patience);

private:
    class state;

    explicit control_server(std::unique_ptr<state> initial);

    std::unique_ptr<state> shared;
};

} // namespace endivehinge::detail

#endif
