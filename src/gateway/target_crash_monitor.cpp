#include <endivehinge/detail/gateway/target_crash_monitor.hpp>

#include <algorithm> // min
#include <string>    // string

#include <absl/strings/str_cat.h> // Hex, StrAppend, StrCat

#include <endivehinge/core/stable_hash.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// fingerprints on one log line
constexpr std::size_t max_logged_requests = 32;

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

} // namespace

request_fingerprint fingerprint_of(dispatch_request const & request)
{
    // each attempt of a client has its own ID, and the caller is the service
    // of the node that it reached, so neither identifies the request
    auto const & message = request.message;
    auto digest = stable_hash(request.service.value());
    digest = stable_hash(std::string(message.method_string()), digest);
    digest = stable_hash(std::string(message.target()), digest);
    return request_fingerprint(stable_hash(message.body(), digest));
}

target_crash_monitor::target_crash_monitor(
    gateway_settings const & node_settings, event_log & events)
    : settings(node_settings)
    , log(events)
{
}

void target_crash_monitor::record_lost(dispatch_request const & request,
                                       bool isolated)
{
    this->evidence.add({fingerprint_of(request), isolated, loop_now()});
}

void target_crash_monitor::confirm_crash(target_id const & target)
{
    auto const lost = this->evidence.take(loop_now());
    if (lost.empty())
    {
        return;
    }
    this->log.write("target_crashed",
                    {{"target", target.value()},
                     {"requests", absl::StrCat(lost.size())},
                     {"fingerprints", join_fingerprints(lost)}});
}

} // namespace endivehinge::detail
