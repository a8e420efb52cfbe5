#include <endivehinge/detail/gateway/client_service.hpp>

#include <endivehinge/detail/gateway/request_dispatch.hpp>

namespace endivehinge::detail
{

namespace
{

// doubled at random, which spreads out the clients that return; memory is free
// again once a few large bodies are passed on
constexpr duration overload_retry_delay = std::chrono::milliseconds(500);

} // namespace

client_service::client_service(gateway_state & shared_state)
    : state(shared_state)
{
}

void client_service::handle(std::shared_ptr<exchange> incoming)
{
    std::make_shared<request_dispatch>(this->state, std::move(incoming))
        ->start();
}

response_message client_service::overload_response()
{
    response_message message{boost::beast::http::status::service_unavailable,
                             11};
    auto const wait = overload_retry_delay * (1 + this->state.random());
    this->state.adapter.write_retry_after(
        message, std::chrono::duration_cast<duration>(wait));
    return message;
}

} // namespace endivehinge::detail
