#include <endivehinge/policy/slowdown_tracker.hpp>

#include <algorithm> // clamp, max, min

namespace endivehinge
{
namespace
{

// probes allowed at once after an idle period
constexpr double probe_burst = 10;
// weight of the newest slow period in the mean length
constexpr double slow_period_weight = 0.2;

} // namespace

slowdown_tracker::slowdown_tracker(target_admission_options const & chosen)
    : options(chosen)
    , mean_slow_period(chosen.initial_slow_period)
    , probe_budget(chosen.probes_per_second, probe_burst)
{
}

void slowdown_tracker::update(double factor, bool cold, time_point now)
{
    bool const was_slow = this->is_slow();
    this->update_base(factor, cold);
    this->slowdown = factor;
    this->updated_at = now;
    this->reported = true;
    this->probe_sent_at.reset();
    if (this->is_slow() && !was_slow)
    {
        this->slow_since = now;
    }
    if (was_slow && !this->is_slow())
    {
        auto const slow_duration = now - this->slow_since;
        this->mean_slow_period += std::chrono::duration_cast<duration>(
            (slow_duration - this->mean_slow_period) * slow_period_weight);
    }
}

void slowdown_tracker::update_base(double factor, bool cold)
{
    double const lowest =
        this->was_cold ? std::min(this->base_slowdown, factor) : factor;
    this->base_slowdown =
        cold ? std::clamp(lowest, 1.0, this->options.max_cold_slowdown) : 1;
    this->was_cold = cold;
}

bool slowdown_tracker::try_start_probe(time_point now)
{
    if (!this->reported || this->is_usable(now) || this->is_probe_pending(now))
    {
        return false;
    }
    if (!this->probe_budget.try_take(now))
    {
        // rely on the last reported slowdown until the next probe is due
        this->probe_backoff_end = now + this->options.probe_interval;
        return false;
    }
    this->probe_sent_at = now;
    return true;
}

void slowdown_tracker::probe_failed(time_point now)
{
    this->probe_sent_at.reset();
    this->probe_backoff_end = now + this->options.failed_probe_backoff;
}

bool slowdown_tracker::is_usable(time_point now) const
{
    return !this->reported || this->is_fresh(now) ||
           now < this->probe_backoff_end;
}

bool slowdown_tracker::is_reported() const
{
    return this->reported;
}

double slowdown_tracker::factor() const
{
    return this->slowdown;
}

bool slowdown_tracker::is_slow() const
{
    return this->slowdown > this->options.slow_threshold * this->base_slowdown;
}

duration slowdown_tracker::expected_remaining(time_point now) const
{
    // assume that the period lasts as long again as it already has
    return std::max(this->mean_slow_period / 2, now - this->slow_since);
}

duration slowdown_tracker::mean_slow_duration() const
{
    return this->mean_slow_period;
}

time_point slowdown_tracker::next_review() const
{
    return this->probe_sent_at
               ? *this->probe_sent_at + this->options.probe_timeout
               : this->updated_at + this->options.probe_interval;
}

bool slowdown_tracker::is_fresh(time_point now) const
{
    return now - this->updated_at <= this->options.slowdown_max_age;
}

bool slowdown_tracker::is_probe_pending(time_point now) const
{
    return this->probe_sent_at &&
           now - *this->probe_sent_at < this->options.probe_timeout;
}

} // namespace endivehinge
