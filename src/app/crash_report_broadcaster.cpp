#include <endivehinge/detail/node/crash_report_broadcaster.hpp>

#include <utility> // move

#include <absl/time/time.h> // Seconds

#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr duration report_send_timeout = milliseconds(500);
constexpr absl::Duration report_wait_limit = absl::Seconds(1);

logger const & log()
{
    static logger const instance("quarantine");
    return instance;
}

void encode_report(crash_report const & report, wire::crash_mark & message)
{
    message.set_fingerprint(report.fingerprint.value());
    message.set_crash(report.crash.value());
    message.set_alone(report.isolated);
    message.set_remaining_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(report.remaining).count()));
}

crash_report decode_report(wire::crash_mark const & message)
{
    return {request_fingerprint(message.fingerprint()),
            crash_id(message.crash()),
            message.alone(),
            milliseconds(message.remaining_ms())};
}

} // namespace

crash_report_broadcaster::crash_report_broadcaster(
    node_name name,
    service_name own_service,
    member_directory const & directory,
    control_client & peer_client,
    shared_quarantine & node_quarantine)
    : own_name(std::move(name))
    , service(std::move(own_service))
    , members(directory)
    , client(peer_client)
    , quarantine(node_quarantine)
{
}

crash_report_broadcaster::~crash_report_broadcaster()
{
    this->stop();
}

void crash_report_broadcaster::start()
{
    this->broadcast_thread = std::thread(&crash_report_broadcaster::run, this);
}

void crash_report_broadcaster::stop()
{
    this->quarantine.pending_reports().close();
    if (this->broadcast_thread.joinable())
    {
        this->broadcast_thread.join();
    }
}

void crash_report_broadcaster::share_marks(
    wire::share_marks_request const & request)
{
    for (auto const & message : request.marks())
    {
        if (message.service() == this->service.value())
        {
            this->quarantine.merge(decode_report(message));
        }
    }
}

void crash_report_broadcaster::run()
{
    while (!this->quarantine.pending_reports().is_closed())
    {
        if (auto const report =
                this->quarantine.pending_reports().pop(report_wait_limit))
        {
            this->broadcast(*report);
        }
    }
}

void crash_report_broadcaster::broadcast(crash_report const & report)
{
    log().warning("A target died with a request in flight; reporting the crash "
                  "to the other nodes.",
                  {{"crash", report.crash.value()},
                   {"request", std::to_string(report.fingerprint.value())},
                   {"alone", report.isolated ? "yes" : "no"}});
    wire::share_marks_request request;
    auto & message = *request.add_marks();
    encode_report(report, message);
    message.set_service(this->service.value());
    auto const member_snapshot = this->members.snapshot();
    for (auto const & peer : *member_snapshot)
    {
        if (peer.service != this->service || peer.name == this->own_name)
        {
            continue;
        }
        failure reason;
        if (!this->client.share_marks(
                peer.control_address, request, report_send_timeout, reason))
        {
            log().warning("Sending a crash report to a node failed; it is not "
                          "sent again.",
                          {{"reason", reason.describe()}});
        }
    }
}

} // namespace endivehinge::detail
