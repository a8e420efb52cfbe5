#include <endivehinge/detail/gateway/client_service.hpp>

#include <endivehinge/detail/gateway/request_dispatch.hpp>

namespace endivehinge::detail
{

client_service::client_service(gateway_state & shared_state)
    : state(shared_state)
{
}

void client_service::handle(std::shared_ptr<exchange> incoming)
{
    std::make_shared<request_dispatch>(this->state, std::move(incoming))
        ->start();
}

} // namespace endivehinge::detail
