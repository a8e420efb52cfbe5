#include <endivehinge/policy/signal_table.hpp>

#include <algorithm> // max, min

namespace endivehinge
{
namespace
{

constexpr std::chrono::microseconds usual_near_hop(300);
constexpr std::chrono::microseconds usual_far_hop(1000);
// the shortest hop seen holds, but gives way when a path becomes longer
constexpr int hop_rise_divisor = 64;

duration follow_shortest(duration known, duration seen)
{
    return seen < known ? seen : known + ((seen - known) / hop_rise_divisor);
}

} // namespace

void signal_table::sent(node_name const & node, time_point now)
{
    entry & known = this->entries[node];
    known.waiting.insert(now);
    ++known.sent_since_signal;
}

void signal_table::ended(node_name const & node,
                         attempt_report const & report,
                         time_point now)
{
    auto const found = this->entries.find(node);
    if (found == this->entries.end())
    {
        return;
    }
    entry & known = found->second;
    if (auto const sent = known.waiting.find(report.sent_at);
        sent != known.waiting.end())
    {
        known.waiting.erase(sent);
    }
    if (report.signal.has_value())
    {
        this->take_in(known, *report.signal);
    }
    else
    {
        known.sent_since_signal = std::max(known.sent_since_signal - 1, 0.0);
    }
    this->measure(known, report, now);
}

void signal_table::record_signal(node_name const & node,
                                 load_signal const & signal)
{
    this->take_in(this->entries[node], signal);
}

void signal_table::forget(node_name const & node)
{
    this->entries.erase(node);
}

void signal_table::describe(placement_candidate & candidate) const
{
    duration const usual =
        candidate.same_domain ? usual_near_hop : usual_far_hop;
    candidate.round_trip_time = candidate.local ? duration(0) : usual;
    auto const found = this->entries.find(candidate.node);
    if (found == this->entries.end())
    {
        return;
    }
    entry const & known = found->second;
    candidate.signal = known.signal;
    candidate.sent_since_signal = known.sent_since_signal;
    candidate.own_in_flight = static_cast<double>(known.waiting.size());
    candidate.observed_latency = known.observed_latency.value();
    if (!known.waiting.empty())
    {
        candidate.waiting_since = *known.waiting.begin();
    }
    if (!candidate.local)
    {
        candidate.round_trip_time = known.round_trip_time.value_or(usual);
    }
}

// answers may cross: an older signal does not replace a newer one
void signal_table::take_in(entry & known, load_signal const & signal)
{
    if (known.signal.has_value() && signal.received < known.signal->received)
    {
        return;
    }
    known.signal = signal;
    known.sent_since_signal = 0;
}

void signal_table::measure(entry & known,
                           attempt_report const & report,
                           time_point now)
{
    duration const whole = now - report.sent_at;
    if (report.time_at_node.has_value())
    {
        duration const round_trip_time =
            std::max(whole - *report.time_at_node, duration(0));
        known.round_trip_time = follow_shortest(
            known.round_trip_time.value_or(round_trip_time), round_trip_time);
    }
    if (report.ended == attempt_report::result::failed)
    {
        known.observed_latency.failed(now);
    }
    if (report.ended == attempt_report::result::answered)
    {
        known.observed_latency.answered(
            std::max(whole - known.round_trip_time.value_or(duration(0)),
                     duration(0)),
            now);
    }
}

} // namespace endivehinge
