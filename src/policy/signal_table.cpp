#include <endivehinge/policy/signal_table.hpp>

#include <algorithm> // max, min

namespace endivehinge
{
namespace
{

constexpr std::chrono::microseconds default_local_domain_round_trip(300);
constexpr std::chrono::microseconds default_remote_domain_round_trip(1000);
// The shortest round-trip time is kept but rises slowly, so that it adapts when
// a network path becomes longer.
constexpr int round_trip_rise_divisor = 64;

duration track_shortest(duration stored, duration sample)
{
    return sample < stored
               ? sample
               : stored + ((sample - stored) / round_trip_rise_divisor);
}

} // namespace

void signal_table::sent(node_name const & node, time_point now)
{
    entry & stored = this->entries[node];
    stored.sent_times.insert(now);
    ++stored.sent_since_signal;
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
    entry & stored = found->second;
    if (auto const sent = stored.sent_times.find(report.sent_at);
        sent != stored.sent_times.end())
    {
        stored.sent_times.erase(sent);
    }
    if (report.signal.has_value())
    {
        this->update_signal(stored, *report.signal);
    }
    else
    {
        stored.sent_since_signal = std::max(stored.sent_since_signal - 1, 0.0);
    }
    this->update_measurements(stored, report, now);
}

void signal_table::record_signal(node_name const & node,
                                 load_signal const & signal)
{
    this->update_signal(this->entries[node], signal);
}

void signal_table::forget(node_name const & node)
{
    this->entries.erase(node);
}

void signal_table::describe(placement_candidate & candidate) const
{
    duration const default_round_trip = candidate.same_domain
                                            ? default_local_domain_round_trip
                                            : default_remote_domain_round_trip;
    candidate.round_trip_time =
        candidate.local ? duration(0) : default_round_trip;
    auto const found = this->entries.find(candidate.node);
    if (found == this->entries.end())
    {
        return;
    }
    entry const & stored = found->second;
    candidate.signal = stored.signal;
    candidate.sent_since_signal = stored.sent_since_signal;
    candidate.own_in_flight = static_cast<double>(stored.sent_times.size());
    candidate.observed_latency = stored.observed_latency.value();
    if (!stored.sent_times.empty())
    {
        candidate.oldest_sent_at = *stored.sent_times.begin();
    }
    if (!candidate.local)
    {
        candidate.round_trip_time =
            stored.round_trip_time.value_or(default_round_trip);
    }
}

// Responses may arrive out of order; an older signal must not replace a newer
// one.
void signal_table::update_signal(entry & stored, load_signal const & signal)
{
    if (stored.signal.has_value() && signal.received < stored.signal->received)
    {
        return;
    }
    stored.signal = signal;
    stored.sent_since_signal = 0;
}

void signal_table::update_measurements(entry & stored,
                                       attempt_report const & report,
                                       time_point now)
{
    duration const total = now - report.sent_at;
    if (report.time_at_node.has_value())
    {
        duration const round_trip_time =
            std::max(total - *report.time_at_node, duration(0));
        stored.round_trip_time = track_shortest(
            stored.round_trip_time.value_or(round_trip_time), round_trip_time);
    }
    if (report.ended == attempt_report::result::failed)
    {
        stored.observed_latency.failed(now);
    }
    if (report.ended == attempt_report::result::answered)
    {
        stored.observed_latency.answered(
            std::max(total - stored.round_trip_time.value_or(duration(0)),
                     duration(0)),
            now);
    }
}

} // namespace endivehinge
