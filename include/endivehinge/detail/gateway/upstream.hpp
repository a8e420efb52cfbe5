#ifndef ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_HPP

#include <memory> // shared_ptr
#include <vector> // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/client_connection.hpp>

namespace endivehinge::detail
{

/// @brief pool of connections to one server
///
/// Reuses the most recently used connection first, so that surplus idle
/// connections expire.
/// @note thread safety: none; used on the event loop only
class upstream
{
public:
    upstream(boost::asio::io_context & loop,
             endpoint const & address,
             upstream_options const & options);

    /// @brief sends a request on an idle or a new connection
    /// @param force_new whether to open a new connection even if one is idle
    /// @param done called once, unless null is returned or the returned
    /// connection is cancelled
    /// @return the connection, or null if the connection limit is reached
    [[nodiscard]] std::shared_ptr<client_connection>
    send(request_message message,
         call_options const & options,
         bool force_new,
         client_connection::result_handler done);

    /// @brief closes all idle connections
    void close_idle();

    /// @brief sends further requests to another address; requests in progress
    /// are completed at the earlier one
    void set_remote(endpoint const & address);

    /// @brief number of connections opened since construction
    [[nodiscard]] std::uint64_t opened_count() const;

private:
    [[nodiscard]] std::shared_ptr<client_connection>
    acquire(call_options const & options, bool force_new);
    /// @return false if none is idle
    bool close_one_idle();
    void remove_closed();

    boost::asio::io_context & io;
    boost::asio::ip::tcp::endpoint remote;
    upstream_options connection_options;
    std::vector<std::shared_ptr<client_connection>> connections;
    std::uint64_t opened_connections = 0;
};

} // namespace endivehinge::detail

#endif
