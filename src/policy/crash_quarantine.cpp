#include <endivehinge/policy/crash_quarantine.hpp>

#include <algorithm> // find, max, min, min_element

namespace endivehinge
{
namespace
{

constexpr std::size_t crashes_to_quarantine = 2;

} // namespace

crash_quarantine::crash_quarantine(quarantine_options initial_options)
    : options(initial_options)
{
}

quarantine_status crash_quarantine::check(request_fingerprint request,
                                          time_point now,
                                          request_frequency frequency)
{
    auto const found = this->entries.find(request);
    if (found == this->entries.end())
    {
        return {};
    }
    if (found->second.expires <= now)
    {
        this->entries.erase(found);
        return {};
    }
    if (found->second.crashing)
    {
        return {quarantine_verdict::crashing, found->second.expires - now};
    }
    if (frequency == request_frequency::frequent)
    {
        return {};
    }
    return {quarantine_verdict::suspect, duration(0)};
}

crash_report crash_quarantine::crashed(request_fingerprint request,
                                       crash_id const & crash,
                                       bool isolated,
                                       time_point now,
                                       request_frequency frequency)
{
    crash_report report{
        request, crash, isolated, this->options.suspicion_duration, frequency};
    this->merge(report, now);
    if (auto const status = this->check(request, now);
        status.verdict == quarantine_verdict::crashing)
    {
        report.remaining = status.remaining;
    }
    return report;
}

void crash_quarantine::restore(request_fingerprint request,
                               duration remaining,
                               time_point now)
{
    if (remaining <= duration(0))
    {
        return;
    }
    if (!this->entries.contains(request))
    {
        this->evict_if_full();
    }
    entry & stored = this->entries[request];
    stored.crashing = true;
    stored.expires =
        std::max(stored.expires,
                 now + std::min(remaining, this->options.quarantine_duration));
}

void crash_quarantine::finished(request_fingerprint request)
{
    auto const found = this->entries.find(request);
    if (found != this->entries.end() && !found->second.crashing)
    {
        this->entries.erase(found);
    }
}

void crash_quarantine::merge(crash_report const & report, time_point now)
{
    if (!this->entries.contains(report.fingerprint))
    {
        this->evict_if_full();
    }
    entry & stored = this->entries[report.fingerprint];
    if (stored.expires <= now)
    {
        stored = {};
    }
    add_crash(stored, report);
    duration const lifetime = stored.crashing
                                  ? this->options.quarantine_duration
                                  : this->options.suspicion_duration;
    stored.expires = std::max(stored.expires, now + lifetime);
}

std::size_t crash_quarantine::size() const
{
    return this->entries.size();
}

void crash_quarantine::add_crash(entry & stored, crash_report const & report)
{
    auto & crashes = stored.crashes;
    bool const is_recorded =
        std::find(crashes.begin(), crashes.end(), report.crash) !=
        crashes.end();
    if (!is_recorded && crashes.size() < crashes_to_quarantine)
    {
        crashes.push_back(report.crash);
    }
    // a crash with several requests in flight may be caused by any of them
    stored.crashing =
        stored.crashing ||
        (report.isolated && report.frequency != request_frequency::frequent &&
         crashes.size() >= crashes_to_quarantine);
}

void crash_quarantine::evict_if_full()
{
    if (this->entries.size() < this->options.max_entries)
    {
        return;
    }
    auto const earliest =
        std::min_element(this->entries.begin(),
                         this->entries.end(),
                         [](auto const & a, auto const & b)
                         {
                             return a.second.expires < b.second.expires;
                         });
    this->entries.erase(earliest);
}

} // namespace endivehinge
