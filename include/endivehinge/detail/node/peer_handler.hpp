#ifndef ENDIVEHINGE_DETAIL_NODE_PEER_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_PEER_HANDLER_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>
#include <endivehinge/detail/node/execution_log.hpp>
#include <endivehinge/detail/node/hop_codec.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>
#include <endivehinge/detail/node/keyed_router.hpp>
#include <endivehinge/detail/node/local_executor.hpp>

namespace endivehinge::detail
{

/// @brief handles forwarded requests and outcome queries from other nodes
class peer_handler final : public http_handler
{
public:
    /// @param executor outlives the handler
    /// @param key_router acts as key owner; outlives the handler
    /// @param ownership checks key owner epochs; outlives the handler
    /// @param log outlives the handler
    /// @param time outlives the handler
    peer_handler(local_executor & executor,
                 keyed_router & key_router,
                 key_ownership & ownership,
                 execution_log & log,
                 clock const & time);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    http_response answer_query(http_request const & message);
    outcome execute(hop_request const & hop, int caller_socket);
    outcome execute_new(hop_request const & hop, int caller_socket);
    outcome dispatch_by_role(hop_request const & hop, int caller_socket);

    local_executor & executor;
    keyed_router & key_router;
    key_ownership & ownership;
    execution_log & log;
    clock const & time;
};

} // namespace endivehinge::detail

#endif
