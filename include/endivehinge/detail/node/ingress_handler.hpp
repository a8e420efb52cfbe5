#ifndef ENDIVEHINGE_DETAIL_NODE_INGRESS_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_INGRESS_HANDLER_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>
#include <endivehinge/detail/metrics/metrics.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/keyed_router.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/detail/node/request_router.hpp>

namespace endivehinge::detail
{

/// @brief handles requests from callers and from the local target
class ingress_handler final : public http_handler
{
public:
    /// @param ids generates request IDs; outlives the handler
    /// @param configuration_source current configuration; outlives the handler
    /// @param router outlives the handler
    /// @param key_router routes requests that run at most once; outlives the
    ///        handler
    /// @param outcome_metrics records each outcome; outlives the handler
    /// @param time outlives the handler
    ingress_handler(request_id_source & ids,
                    configuration_holder const & configuration_source,
                    request_router & router,
                    keyed_router & key_router,
                    metrics & outcome_metrics,
                    clock const & time);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    outcome route(request const & incoming, int caller_socket);
    std::optional<request> parse_request(http_request message,
                                         outcome & rejection);

    request_id_source & ids;
    configuration_holder const & configuration_source;
    request_router & router;
    keyed_router & key_router;
    metrics & outcome_metrics;
    clock const & time;
};

} // namespace endivehinge::detail

#endif
