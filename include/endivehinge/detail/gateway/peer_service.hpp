#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PEER_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PEER_SERVICE_HPP

#include <endivehinge/coordination/in_flight_request_table.hpp>
#include <endivehinge/detail/gateway/allotment_service.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>
#include <endivehinge/detail/gateway/rollout_control.hpp>

namespace endivehinge::detail
{

/// @brief runs the requests of other nodes on the local target
/// @note thread safety: none; used on the event loop only
class peer_service final : public request_handler
{
public:
    peer_service(gateway_state & shared_state,
                 replica_sync & sync,
                 allotment_service & allotment_messages,
                 rollout_control & service_rollout);

    void handle(std::shared_ptr<exchange> incoming) override;

    /// @brief refuses what is neither a client's request from another node nor
    /// a query; bodies of queries are small
    [[nodiscard]] head_verdict
    check_head(request_head const & head) const override;

    [[nodiscard]] response_message overload_response() override;

private:
    void run(std::shared_ptr<exchange> const & incoming,
             dispatch_request request);
    [[nodiscard]] bool handle_query(exchange & incoming);
    void receive_notice(exchange & incoming);
    void receive_crash_reports(exchange & incoming);
    void refuse(exchange & incoming, char const * reason, bool closed);
    void respond(exchange & incoming, dispatch_result result);

    gateway_state & state;
    replica_sync & replicas;
    allotment_service & allotments;
    rollout_control & rollout;
    time_point started_at;
    in_flight_request_table in_flight_requests;
};

} // namespace endivehinge::detail

#endif
