#ifndef ENDIVEHINGE_DETAIL_GATEWAY_BUDGETED_CONNECTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_BUDGETED_CONNECTION_HPP

#include <endivehinge/detail/gateway/client_limit.hpp>

namespace endivehinge::detail
{

/// @brief a connection whose memory a connection_registry bounds
/// @note thread safety: none; used on the event loop only
class budgeted_connection
{
public:
    budgeted_connection() = default;
    budgeted_connection(budgeted_connection const &) = delete;
    budgeted_connection & operator=(budgeted_connection const &) = delete;
    virtual ~budgeted_connection() = default;

    /// @brief refuses the request that is being received, or closes the
    /// connection; frees what it holds
    /// @note a second call closes the connection
    virtual void give_way(client_limit limit) = 0;

    /// @brief continues reading after connection_registry::acquire() failed
    virtual void resume_reading() = 0;
};

} // namespace endivehinge::detail

#endif
