#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_SERVICE_HPP

#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>

namespace endivehinge::detail
{

/// @brief handles the requests of clients and of the local target
/// @note thread safety: none; used on the event loop only
class client_service final : public request_handler
{
public:
    explicit client_service(gateway_state & shared_state);

    void handle(std::shared_ptr<exchange> incoming) override;

    [[nodiscard]] response_message overload_response() override;

private:
    gateway_state & state;
};

} // namespace endivehinge::detail

#endif
