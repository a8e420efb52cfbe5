#include <endivehinge/detail/gateway/report_service.hpp>

#include <memory> // make_shared

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// targets wait a second for a confirmation
constexpr duration confirmation_wait = std::chrono::milliseconds(600);

void confirm(exchange & incoming)
{
    response_message answer{http::status::ok, 11};
    answer.set(http::field::content_type, "application/json");
    answer.body() = "{}";
    answer.prepare_payload();
    incoming.respond(std::move(answer));
}

void reject(exchange & incoming, http::status status)
{
    response_message answer{status, 11};
    answer.prepare_payload();
    incoming.respond(std::move(answer));
}

} // namespace

report_service::report_service(gateway_state & shared,
                               report_adapter const & codec,
                               replica_sync & copies)
    : state(shared)
    , adapter(codec)
    , replicas(copies)
{
}

void report_service::handle(std::shared_ptr<exchange> incoming)
{
    if (replica_exchange::is_request(incoming->request))
    {
        // nodes that know no other node ask here
        this->replicas.serve(*incoming);
        return;
    }
    failure reason;
    auto const notice = this->adapter.read_notice(incoming->request, reason);
    if (!notice)
    {
        this->state.log.write("report_unreadable",
                              {{"reason", reason.describe()}});
        reject(*incoming,
               reason.id == failure_id::not_found ? http::status::not_found
                                                  : http::status::bad_request);
        return;
    }
    if (!this->state.target.report(*notice))
    {
        this->state.log.write("report_of_other_target",
                              {{"target", notice->id.value()}});
        reject(*incoming, http::status::bad_request);
        return;
    }
    bool const leaves = !notice->report.has_value() ||
                        notice->report->state != target_state::ready;
    if (leaves)
    {
        this->confirm_when_stored(incoming);
        return;
    }
    confirm(*incoming);
}

void report_service::confirm_when_stored(
    std::shared_ptr<exchange> const & incoming)
{
    this->replicas.when_published(
        [incoming]
        {
            confirm(*incoming);
        });
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(this->state.io);
    timer->expires_after(confirmation_wait);
    timer->async_wait(
        [incoming, timer](boost::system::error_code)
        {
            confirm(*incoming);
        });
}

} // namespace endivehinge::detail
