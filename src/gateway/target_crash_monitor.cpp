#include <endivehinge/detail/gateway/target_crash_monitor.hpp>

#include <algorithm> // min, remove_if
#include <chrono>    // system_clock
#include <string>    // string
#include <utility>   // move

#include <absl/strings/str_cat.h> // Hex, StrAppend, StrCat

#include <endivehinge/core/stable_hash.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// fingerprints on one log line
constexpr std::size_t max_logged_requests = 32;
// crashing requests in the entry of a target; bounds its size
constexpr std::size_t max_published_requests = 16;

quarantine_options gateway_quarantine_options()
{
    quarantine_options options;
    // bounds memory to some 100 kB
    options.max_entries = 512;
    // a client may send the request again after minutes
    options.suspicion_duration = options.quarantine_duration;
    return options;
}

std::string join_fingerprints(std::vector<lost_request> const & requests)
{
    std::string text;
    auto const count = std::min(requests.size(), max_logged_requests);
    for (std::size_t i = 0; i < count; ++i)
    {
        absl::StrAppend(&text,
                        i == 0 ? "" : ",",
                        absl::Hex(requests[i].fingerprint.value()));
    }
    return text;
}

std::int64_t unix_time_ms()
{
    return duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

request_fingerprint fingerprint_of(dispatch_request const & request)
{
    // each attempt of a client has its own ID, and the caller is the service
    // of the node that it reached, so neither identifies the request
    auto const & message = request.message;
    auto digest = stable_hash(request.service.value());
    digest = stable_hash(std::string(message.method_string()), digest);
    digest = stable_hash(std::string(message.target()), digest);
    std::vector<std::string_view> segments;
    for (std::size_t i = 0; i < message.body().segment_count(); ++i)
    {
        segments.push_back(message.body().segment(i));
    }
    return request_fingerprint(stable_hash(segments, digest));
}

target_crash_monitor::target_crash_monitor(
    gateway_settings const & node_settings, event_log & events)
    : settings(node_settings)
    , log(events)
    , quarantine(gateway_quarantine_options())
{
}

void target_crash_monitor::on_crash(reports_handler reports)
{
    this->handler = std::move(reports);
}

quarantine_status target_crash_monitor::check(dispatch_request const & request)
{
    quarantine_status status;
    if (this->quarantine.size() > 0)
    {
        auto const fingerprint = fingerprint_of(request);
        status = this->quarantine.check(
            fingerprint, loop_now(), this->frequency_of(fingerprint));
    }
    if (status.verdict == quarantine_verdict::clear && request.suspect)
    {
        status.verdict = quarantine_verdict::suspect;
    }
    return status;
}

void target_crash_monitor::record_success(dispatch_request const & request)
{
    auto const fingerprint = fingerprint_of(request);
    this->completed.add(fingerprint, loop_now());
    this->quarantine.finished(fingerprint);
}

void target_crash_monitor::record_lost(dispatch_request const & request,
                                       bool isolated,
                                       time_point started_at)
{
    this->evidence.add(
        {fingerprint_of(request), isolated, started_at, loop_now()});
}

void target_crash_monitor::dismiss_losses()
{
    this->evidence.clear();
}

void target_crash_monitor::confirm_crash(target_id const & target)
{
    auto const lost = this->evidence.take(loop_now());
    if (lost.empty())
    {
        return;
    }
    this->crashes += 1;
    this->log.write("target_crashed",
                    {{"target", target.value()},
                     {"requests", absl::StrCat(lost.size())},
                     {"fingerprints", join_fingerprints(lost)}});
    crash_id const crash(absl::StrCat(
        this->settings.node.value(), "/", target.value(), "/", unix_time_ms()));
    std::vector<crash_report> reports;
    for (auto const & request : lost)
    {
        bool const was_crashing = this->is_crashing(request.fingerprint);
        reports.push_back(
            this->quarantine.crashed(request.fingerprint,
                                     crash,
                                     request.isolated,
                                     loop_now(),
                                     this->frequency_of(request.fingerprint)));
        if (!was_crashing)
        {
            this->announce_quarantine(request.fingerprint);
        }
    }
    if (this->handler && !reports.empty())
    {
        this->handler(std::move(reports));
    }
}

void target_crash_monitor::merge(std::vector<crash_report> const & reports)
{
    for (auto report : reports)
    {
        if (this->frequency_of(report.fingerprint) ==
            request_frequency::frequent)
        {
            report.frequency = request_frequency::frequent;
        }
        bool const was_crashing = this->is_crashing(report.fingerprint);
        this->quarantine.merge(report, loop_now());
        if (!was_crashing)
        {
            this->announce_quarantine(report.fingerprint);
        }
    }
}

request_frequency
target_crash_monitor::frequency_of(request_fingerprint request) const
{
    return this->completed.contains(request, loop_now())
               ? request_frequency::frequent
               : request_frequency::unknown;
}

bool target_crash_monitor::is_crashing(request_fingerprint request)
{
    return this->quarantine.check(request, loop_now()).verdict ==
           quarantine_verdict::crashing;
}

void target_crash_monitor::announce_quarantine(request_fingerprint request)
{
    auto const status = this->quarantine.check(request, loop_now());
    if (status.verdict != quarantine_verdict::crashing)
    {
        return;
    }
    this->publish({request,
                   unix_time_ms() +
                       duration_cast<milliseconds>(status.remaining).count()});
    this->log.write("request_quarantined",
                    {{"fingerprint", absl::StrCat(absl::Hex(request.value()))},
                     {"for_ms", format_milliseconds(status.remaining)}});
}

std::uint64_t target_crash_monitor::crash_count() const
{
    return this->crashes;
}

void target_crash_monitor::restore(
    std::vector<quarantined_request> const & published)
{
    for (auto const & request : published)
    {
        auto const status =
            this->quarantine.check(request.fingerprint, loop_now());
        if (status.verdict != quarantine_verdict::crashing &&
            request.expires_ms > unix_time_ms())
        {
            this->quarantine.restore(
                request.fingerprint,
                milliseconds(request.expires_ms - unix_time_ms()),
                loop_now());
            this->publish(request);
        }
    }
}

void target_crash_monitor::publish(quarantined_request const & request)
{
    if (this->quarantined.size() >= max_published_requests)
    {
        this->quarantined.erase(this->quarantined.begin());
    }
    this->quarantined.push_back(request);
}

std::vector<quarantined_request> target_crash_monitor::crashing() const
{
    auto requests = this->quarantined;
    auto const now = unix_time_ms();
    requests.erase(std::remove_if(requests.begin(),
                                  requests.end(),
                                  [now](auto const & request)
                                  {
                                      return request.expires_ms <= now;
                                  }),
                   requests.end());
    return requests;
}

} // namespace endivehinge::detail
