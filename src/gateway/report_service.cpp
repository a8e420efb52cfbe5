#include <endivehinge/detail/gateway/report_service.hpp>

#include <memory> // make_shared

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// must be shorter than the 1 s that targets wait for a confirmation
constexpr duration confirmation_wait_limit = std::chrono::milliseconds(600);

void send_confirmation(exchange & incoming)
{
    response_message response{http::status::ok, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = "{}";
    response.prepare_payload();
    incoming.respond(std::move(response));
}

void send_rejection(exchange & incoming, http::status status)
{
    response_message response{status, 11};
    response.prepare_payload();
    incoming.respond(std::move(response));
}

} // namespace

report_service::report_service(gateway_state & shared,
                               report_adapter const & codec,
                               replica_sync & node_replicas)
    : state(shared)
    , adapter(codec)
    , replicas(node_replicas)
{
}

void report_service::handle(std::shared_ptr<exchange> incoming)
{
    if (replica_exchange::is_request(incoming->request))
    {
        // a node without any peer requests changes from the seed addresses,
        // which are report listeners
        this->replicas.serve(*incoming);
        return;
    }
    failure reason;
    auto const notice = this->adapter.read_notice(incoming->request, reason);
    if (!notice)
    {
        this->state.log.write("report_unreadable",
                              {{"reason", reason.describe()}});
        send_rejection(*incoming,
                       reason.id == failure_id::not_found
                           ? http::status::not_found
                           : http::status::bad_request);
        return;
    }
    auto const result = this->state.target.report(*notice);
    if (result != local_target::report_result::accepted)
    {
        bool const is_declined =
            result == local_target::report_result::declined;
        this->state.log.write(is_declined ? "report_while_stopping"
                                          : "report_of_other_target",
                              {{"target", notice->id.value()}});
        send_rejection(*incoming,
                       is_declined ? http::status::service_unavailable
                                   : http::status::bad_request);
        return;
    }
    bool const is_leaving = !notice->report.has_value() ||
                            notice->report->state != target_state::ready;
    if (is_leaving)
    {
        this->confirm_when_stored(incoming);
        return;
    }
    send_confirmation(*incoming);
}

void report_service::confirm_when_stored(
    std::shared_ptr<exchange> const & incoming)
{
    this->replicas.when_published(
        [incoming]
        {
            send_confirmation(*incoming);
        });
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(this->state.io);
    timer->expires_after(confirmation_wait_limit);
    timer->async_wait(
        [incoming, timer](boost::system::error_code)
        {
            // a confirmation binds the next process of this node, too
            send_rejection(*incoming, http::status::service_unavailable);
        });
}

} // namespace endivehinge::detail
