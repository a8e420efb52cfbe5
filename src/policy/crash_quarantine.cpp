#include <endivehinge/policy/crash_quarantine.hpp>

#include <algorithm> // find, max, min_element

namespace endivehinge
{
namespace
{

constexpr std::size_t deaths_of_a_crashing_request = 2;

} // namespace

crash_quarantine::crash_quarantine(quarantine_options chosen)
    : options(chosen)
{
}

quarantine_status crash_quarantine::check(request_fingerprint request,
                                          time_point now)
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
    return {quarantine_verdict::suspect, duration(0)};
}

crash_report crash_quarantine::crashed(request_fingerprint request,
                                       crash_id const & crash,
                                       bool isolated,
                                       time_point now)
{
    crash_report mark{request, crash, isolated, this->options.suspicion};
    this->merge(mark, now);
    if (auto const report = this->check(request, now);
        report.verdict == quarantine_verdict::crashing)
    {
        mark.remaining = report.remaining;
    }
    return mark;
}

void crash_quarantine::finished(request_fingerprint request)
{
    auto const found = this->entries.find(request);
    if (found != this->entries.end() && !found->second.crashing)
    {
        this->entries.erase(found);
    }
}

void crash_quarantine::merge(crash_report const & mark, time_point now)
{
    if (!this->entries.contains(mark.fingerprint))
    {
        this->make_room();
    }
    entry & known = this->entries[mark.fingerprint];
    if (known.expires <= now)
    {
        known = {};
    }
    this->record(known, mark);
    duration const longest =
        known.crashing ? this->options.mark : this->options.suspicion;
    known.expires = std::max(known.expires, now + longest);
}

std::size_t crash_quarantine::size() const
{
    return this->entries.size();
}

void crash_quarantine::record(entry & known, crash_report const & mark) const
{
    auto & crashes = known.crashes;
    bool const is_known =
        std::find(crashes.begin(), crashes.end(), mark.crash) != crashes.end();
    if (!is_known && crashes.size() < deaths_of_a_crashing_request)
    {
        crashes.push_back(mark.crash);
    }
    // a death that came with others in flight may be the doing of another
    known.crashing =
        known.crashing ||
        (mark.isolated && crashes.size() >= deaths_of_a_crashing_request);
}

void crash_quarantine::make_room()
{
    if (this->entries.size() < this->options.entries)
    {
        return;
    }
    auto const first =
        std::min_element(this->entries.begin(),
                         this->entries.end(),
                         [](auto const & a, auto const & b)
                         {
                             return a.second.expires < b.second.expires;
                         });
    this->entries.erase(first);
}

} // namespace endivehinge
