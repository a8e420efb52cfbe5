#include <endivehinge/detail/gateway/allotment_service.hpp>

#include <endivehinge/detail/gateway/allotment_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

allotment_service::allotment_service(gateway_state & shared_state,
                                     allotment_client & client)
    : state(shared_state)
    , allotments(client)
{
}

bool allotment_service::handle(exchange & incoming)
{
    if (!allotment_exchange::is_request(incoming.request))
    {
        return false;
    }
    failure reason;
    auto const message =
        allotment_exchange::read_request(incoming.request, reason);
    response_message response{
        message ? http::status::ok : http::status::bad_request, 11};
    if (message)
    {
        response.body() = allotment_exchange::write_response(
            this->allotments.answer(*message));
    }
    else
    {
        this->state.log.write("allotment_message_unreadable",
                              {{"reason", reason.describe()}});
    }
    response.keep_alive(true);
    response.prepare_payload();
    incoming.respond(std::move(response));
    return true;
}

} // namespace endivehinge::detail
