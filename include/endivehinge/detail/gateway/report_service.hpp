#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPORT_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPORT_SERVICE_HPP

#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/report_adapter.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>

namespace endivehinge::detail
{

/// @brief takes the reports of the target beside this node
///
/// A drain or a leave is confirmed once the store holds it, or after a bound:
/// this node itself keeps to it from the moment it is heard.
/// @note thread safety: none; used on the event loop only
class report_service final : public request_handler
{
public:
    report_service(gateway_state & shared,
                   report_adapter const & codec,
                   replica_sync & copies);

    void handle(std::shared_ptr<exchange> incoming) override;

private:
    void confirm_when_stored(std::shared_ptr<exchange> const & incoming);

    gateway_state & state;
    report_adapter const & adapter;
    replica_sync & replicas;
};

} // namespace endivehinge::detail

#endif
