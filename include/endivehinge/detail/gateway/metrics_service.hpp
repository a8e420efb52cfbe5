#ifndef ENDIVEHINGE_DETAIL_GATEWAY_METRICS_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_METRICS_SERVICE_HPP

#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>

namespace endivehinge::detail
{

/// @brief serves the metrics of the node in the text exposition format
/// @note thread safety: none; used on the event loop only
class metrics_service final : public request_handler
{
public:
    explicit metrics_service(gateway_state & shared_state);

    void handle(std::shared_ptr<exchange> incoming) override;

private:
    gateway_state & state;
};

} // namespace endivehinge::detail

#endif
