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

constexpr duration call_timeout = milliseconds(500);
constexpr absl::Duration wait_for_news = absl::Seconds(1);

logger const & log()
{
    static logger const instance("quarantine");
    return instance;
}

void write_mark(crash_report const & source, wire::crash_mark & target)
{
    target.set_fingerprint(source.fingerprint.value());
    target.set_crash(source.crash.value());
    target.set_alone(source.isolated);
    target.set_remaining_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(source.remaining).count()));
}

crash_report read_mark(wire::crash_mark const & source)
{
    return {request_fingerprint(source.fingerprint()),
            crash_id(source.crash()),
            source.alone(),
            milliseconds(source.remaining_ms())};
}

} // namespace

crash_report_broadcaster::crash_report_broadcaster(
    node_name name,
    service_name own_service,
    member_directory const & directory,
    control_client & calls,
    shared_quarantine & quarantine)
    : self(std::move(name))
    , service(std::move(own_service))
    , members(directory)
    , client(calls)
    , board(quarantine)
{
}

crash_report_broadcaster::~crash_report_broadcaster()
{
    this->stop();
}

void crash_report_broadcaster::start()
{
    this->worker = std::thread(&crash_report_broadcaster::run, this);
}

void crash_report_broadcaster::stop()
{
    this->board.pending_reports().close();
    if (this->worker.joinable())
    {
        this->worker.join();
    }
}

void crash_report_broadcaster::share_marks(
    wire::share_marks_request const & request)
{
    for (auto const & mark : request.marks())
    {
        if (mark.service() == this->service.value())
        {
            this->board.merge(read_mark(mark));
        }
    }
}

void crash_report_broadcaster::run()
{
    while (!this->board.pending_reports().is_closed())
    {
        if (auto const mark = this->board.pending_reports().pop(wait_for_news))
        {
            this->tell(*mark);
        }
    }
}

void crash_report_broadcaster::tell(crash_report const & mark)
{
    log().warning("A target died with a request in flight.",
                  {{"crash", mark.crash.value()},
                   {"request", std::to_string(mark.fingerprint.value())},
                   {"alone", mark.isolated ? "yes" : "no"}});
    wire::share_marks_request request;
    auto & written = *request.add_marks();
    write_mark(mark, written);
    written.set_service(this->service.value());
    auto const known = this->members.snapshot();
    for (auto const & peer : *known)
    {
        if (peer.service != this->service || peer.name == this->self)
        {
            continue;
        }
        failure reason;
        if (!this->client.share_marks(
                peer.control_address, request, call_timeout, reason))
        {
            log().warning("A node was not told.",
                          {{"reason", reason.describe()}});
        }
    }
}

} // namespace endivehinge::detail
