#ifndef ENDIVEHINGE_DETAIL_GATEWAY_METRICS_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_METRICS_SERVICE_HPP

#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>
#include <endivehinge/detail/gateway/rollout_control.hpp>

namespace endivehinge::detail
{

/// @brief serves the metrics of the node in the text exposition format, and the
/// known roll-outs as JSON
/// @note thread safety: none; used on the event loop only
class metrics_service final : public request_handler
{
public:
    metrics_service(gateway_state & shared_state,
                    rollout_control & service_rollout);

    void handle(std::shared_ptr<exchange> incoming) override;

private:
    void respond_with_rollouts(exchange & incoming);

    gateway_state & state;
    rollout_control & rollout;
};

} // namespace endivehinge::detail

#endif
