#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_SERVICE_HPP

#include <endivehinge/detail/gateway/allotment_client.hpp>
#include <endivehinge/detail/gateway/exchange.hpp>

namespace endivehinge::detail
{

/// @brief answers the messages of other nodes about allotments
/// @note thread safety: none; used on the event loop only
class allotment_service
{
public:
    allotment_service(gateway_state & shared_state, allotment_client & client);

    /// @brief answers a message
    /// @return whether the request is such a message
    [[nodiscard]] bool handle(exchange & incoming);

private:
    gateway_state & state;
    allotment_client & allotments;
};

} // namespace endivehinge::detail

#endif
