#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPORT_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPORT_SERVICE_HPP

#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/report_adapter.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>

namespace endivehinge::detail
{

/// @brief receives the status reports of the target beside this node
///
/// This node applies a drain or leave as soon as it arrives. The response is
/// sent once the store holds the new state, or after a wait limit.
/// @note thread safety: none; used on the event loop only
class report_service final : public request_handler
{
public:
    report_service(gateway_state & shared,
                   report_adapter const & codec,
                   replica_sync & node_replicas);

    void handle(std::shared_ptr<exchange> incoming) override;

private:
    void confirm_when_stored(std::shared_ptr<exchange> const & incoming);

    gateway_state & state;
    report_adapter const & adapter;
    replica_sync & replicas;
};

} // namespace endivehinge::detail

#endif
