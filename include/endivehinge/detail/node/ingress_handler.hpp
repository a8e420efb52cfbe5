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

/// @brief takes requests from callers, and from the target's own calls
class ingress_handler final : public http_handler
{
public:
    /// @param ids names each request; outlives the handler
    /// @param current the configuration; outlives the handler
    /// @param router outlives the handler
    /// @param keyed takes requests that run at most once; outlives the handler
    /// @param recorded counts what callers get; outlives the handler
    /// @param time outlives the handler
    ingress_handler(request_id_source & ids,
                    configuration_holder const & current,
                    request_router & router,
                    keyed_router & keyed,
                    metrics & recorded,
                    clock const & time);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    outcome route(request const & incoming, int caller_socket);
    std::optional<request> read(http_request message, outcome & refusal);

    request_id_source & ids;
    configuration_holder const & current;
    request_router & router;
    keyed_router & keyed;
    metrics & recorded;
    clock const & time;
};

} // namespace endivehinge::detail

#endif
