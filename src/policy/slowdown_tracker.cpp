#include <endivehinge/policy/slowdown_tracker.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// probes that may be sent at once after a quiet time
constexpr double probe_burst = 10;
// weight of the newest slow period in their mean
constexpr double slow_period_weight = 0.2;

} // namespace

slowdown_tracker::slowdown_tracker(target_admission_options const & chosen)
    : options(chosen)
    , mean_slow_period(chosen.slow_period)
    , probes(chosen.probe_rate, probe_burst)
{
}

void slowdown_tracker::heard(double factor, time_point now)
{
    bool const was_slow = this->is_slow();
    this->slowdown = factor;
    this->heard_at = now;
    this->stated = true;
    this->probe_sent.reset();
    if (this->is_slow() && !was_slow)
    {
        this->slow_since = now;
    }
    if (was_slow && !this->is_slow())
    {
        auto const lasted = now - this->slow_since;
        this->mean_slow_period += std::chrono::duration_cast<duration>(
            (lasted - this->mean_slow_period) * slow_period_weight);
    }
}

bool slowdown_tracker::try_start_probe(time_point now)
{
    if (!this->stated || this->is_decided(now) || this->is_probe_pending(now))
    {
        return false;
    }
    if (!this->probes.try_take(now))
    {
        // decides by what was heard last
        this->pause_ends = now + this->options.probe_interval;
        return false;
    }
    this->probe_sent = now;
    return true;
}

void slowdown_tracker::probe_failed(time_point now)
{
    this->probe_sent.reset();
    this->pause_ends = now + this->options.probe_pause;
}

bool slowdown_tracker::is_decided(time_point now) const
{
    return !this->stated || this->is_fresh(now) || now < this->pause_ends;
}

bool slowdown_tracker::is_stated() const
{
    return this->stated;
}

double slowdown_tracker::factor() const
{
    return this->slowdown;
}

bool slowdown_tracker::is_slow() const
{
    return this->slowdown > this->options.slow;
}

duration slowdown_tracker::expected_remaining(time_point now) const
{
    // it may last as long again as it has lasted
    return std::max(this->mean_slow_period / 2, now - this->slow_since);
}

duration slowdown_tracker::mean_period() const
{
    return this->mean_slow_period;
}

time_point slowdown_tracker::next_review() const
{
    return this->probe_sent ? *this->probe_sent + this->options.probe_patience
                            : this->heard_at + this->options.probe_interval;
}

bool slowdown_tracker::is_fresh(time_point now) const
{
    return now - this->heard_at <= this->options.fresh;
}

bool slowdown_tracker::is_probe_pending(time_point now) const
{
    return this->probe_sent &&
           now - *this->probe_sent < this->options.probe_patience;
}

} // namespace endivehinge
