#ifndef ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_HPP

#include <memory> // shared_ptr
#include <vector> // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/client_connection.hpp>

namespace endivehinge::detail
{

/// @brief the connections to one server
///
/// The connection used last is used first, so that idle ones expire.
/// @note thread safety: none; used on the event loop only
class upstream
{
public:
    upstream(boost::asio::io_context & loop,
             endpoint const & address,
             upstream_options const & chosen);

    /// @brief sends a request on an idle or a new connection
    /// @param fresh whether a new connection is used in any case
    /// @param done called once, unless the returned connection is cancelled
    /// @return the connection in use, or null where the bound of connections
    /// is reached
    [[nodiscard]] std::shared_ptr<client_connection>
    send(request_message message,
         call_options const & options,
         bool fresh,
         client_connection::result_handler done);

    /// @brief closes the connections that are idle
    void close_idle();

    /// @brief connections opened so far
    [[nodiscard]] std::uint64_t opened_count() const;

private:
    [[nodiscard]] std::shared_ptr<client_connection> take(bool fresh);
    void remove_closed();

    boost::asio::io_context & io;
    boost::asio::ip::tcp::endpoint remote;
    upstream_options bounds;
    std::vector<std::shared_ptr<client_connection>> connections;
    std::uint64_t opened = 0;
};

} // namespace endivehinge::detail

#endif
