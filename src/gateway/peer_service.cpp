#include <endivehinge/detail/gateway/peer_service.hpp>

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

peer_service::peer_service(gateway_state & shared, replica_sync & copies)
    : state(shared)
    , replicas(copies)
{
}

void peer_service::handle(std::shared_ptr<exchange> incoming)
{
    if (replica_exchange::is_request(incoming->request))
    {
        this->replicas.serve(*incoming);
        return;
    }
    if (auto const sender = read_hop_sender(incoming->request))
    {
        this->replicas.peer_shows(sender->peer, sender->versions);
    }
    auto request =
        read_hop_request(std::move(incoming->request), incoming->arrival);
    if (!request)
    {
        this->state.log.write("peer_request_unreadable", {});
        response_message answer{http::status::bad_request, 11};
        answer.prepare_payload();
        incoming->respond(std::move(answer));
        return;
    }
    if (this->state.stopping)
    {
        dispatch_result result;
        result.outcome = dispatch_outcome::refused;
        result.reason = "node_stops";
        target_load load = this->state.target.load();
        load.closed = true;
        result.load = load;
        this->respond(*incoming, std::move(result));
        return;
    }
    remove_connection_fields(request->message);
    auto const cancel = this->state.target.run(
        std::move(*request),
        [this, incoming](dispatch_result result)
        {
            if (result.outcome == dispatch_outcome::refused)
            {
                this->state.metrics.count(
                    "gate_refused_" +
                    (result.reason.find(' ') == std::string::npos
                         ? result.reason
                         : std::string("unreachable")));
            }
            this->respond(*incoming, std::move(result));
        });
    incoming->on_cancel(cancel);
}

void peer_service::respond(exchange & incoming, dispatch_result result)
{
    auto message =
        write_hop_result(std::move(result), this->state.self.versions);
    message.keep_alive(true);
    message.prepare_payload();
    incoming.respond(std::move(message));
}

} // namespace endivehinge::detail
