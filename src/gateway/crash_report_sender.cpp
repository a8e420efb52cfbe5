#include <endivehinge/detail/gateway/crash_report_sender.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/crash_report_exchange.hpp>

namespace endivehinge::detail
{
namespace
{

// covers a new connection between failure domains to a busy node
constexpr duration report_timeout = std::chrono::milliseconds(500);

} // namespace

crash_report_sender::crash_report_sender(gateway_state & shared_state)
    : state(shared_state)
{
}

void crash_report_sender::send(std::vector<crash_report> const & reports)
{
    auto const message = crash_report_exchange::write_request(reports);
    for (auto const * const entry :
         this->state.fleet.targets_except(this->state.settings.node))
    {
        if (entry->service == this->state.settings.service)
        {
            this->send_to(entry->peer, message);
        }
    }
}

void crash_report_sender::send_to(endpoint const & peer,
                                  request_message message)
{
    this->state.peer(peer).call(
        std::move(message),
        report_timeout,
        [this, peer](call_result const & result)
        {
            if (result.status != call_status::answered ||
                result.response.result() != boost::beast::http::status::ok)
            {
                this->state.log.write(
                    "crash_report_not_sent",
                    {{"peer", peer.to_string()},
                     {"reason",
                      result.detail.empty()
                          ? absl::StrCat("status ",
                                         result.response.result_int())
                          : result.detail}});
            }
        });
}

} // namespace endivehinge::detail
