#include <endivehinge/detail/gateway/readiness_service.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

readiness_service::readiness_service(gateway_state & shared_state)
    : state(shared_state)
{
}

void readiness_service::handle(std::shared_ptr<exchange> incoming)
{
    auto status = http::status::not_found;
    if (this->state.adapter.is_readiness_probe(incoming->request))
    {
        bool const ready = this->state.fleet.configuration() &&
                           this->state.is_configuration_confirmed() &&
                           !this->state.stopping;
        status = ready ? http::status::ok : http::status::service_unavailable;
    }
    response_message response{status, 11};
    response.prepare_payload();
    incoming->respond(std::move(response));
}

} // namespace endivehinge::detail
