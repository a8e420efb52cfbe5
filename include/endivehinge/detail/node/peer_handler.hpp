#ifndef ENDIVEHINGE_DETAIL_NODE_PEER_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_PEER_HANDLER_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>
#include <endivehinge/detail/node/local_executor.hpp>

namespace endivehinge::detail
{

/// @brief takes requests from other nodes
class peer_handler final : public http_handler
{
public:
    /// @param executor outlives the handler
    /// @param time outlives the handler
    peer_handler(local_executor & executor, clock const & time);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    local_executor & executor;
    clock const & time;
};

} // namespace endivehinge::detail

#endif
