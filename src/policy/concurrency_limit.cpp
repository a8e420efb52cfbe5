#include <endivehinge/policy/concurrency_limit.hpp>

#include <algorithm> // clamp, max, min

namespace endivehinge
{
namespace
{

constexpr std::uint32_t shortest_window_answers = 5;
constexpr std::uint32_t longest_window_answers = 50;
constexpr double recent_weight = 0.1;
constexpr double low_drift_share = 0.01;
constexpr double slower_factor = 2;
constexpr double sudden_fall_factor = 5;
constexpr double too_much_share = 0.5;
constexpr double steady_growth_share = 0.5;
constexpr double back_off_share = 0.8;
constexpr double cold_share_of_slots = 0.1;
constexpr duration scheduling_noise = std::chrono::milliseconds(2);

double to_count(duration span)
{
    return static_cast<double>(span.count());
}

duration to_duration(double nanoseconds)
{
    return duration(static_cast<duration::rep>(nanoseconds));
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options chosen)
    : options(chosen)
{
}

void concurrency_limit::set_slots(std::uint32_t announced)
{
    bool const was_full = this->limit >= this->slots;
    this->slots = std::max<std::uint32_t>(announced, 1);
    if (was_full && !this->slow_starting)
    {
        this->limit = this->slots;
    }
    this->clamp();
}

void concurrency_limit::restart(slow_start_pace growth)
{
    this->pace = growth;
    this->recent = 0;
    this->low = 0;
    this->open = {};
    this->slow_starting = true;
    this->limit = this->slots * cold_share_of_slots;
    if (!this->options.slow_start)
    {
        this->slow_starting = false;
        this->limit = this->slots;
    }
    this->clamp();
}

void concurrency_limit::set_pace(slow_start_pace growth)
{
    this->pace = growth;
}

void concurrency_limit::record(duration latency,
                               std::uint32_t in_flight,
                               bool in_time)
{
    double const sample = to_count(latency);
    this->recent =
        this->recent == 0
            ? sample
            : this->recent + (recent_weight * (sample - this->recent));
    this->open.latency_sum += sample;
    this->open.peak_in_flight = std::max(this->open.peak_in_flight, in_flight);
    this->open.all_in_time = this->open.all_in_time && in_time;
    ++this->open.count;
    std::uint32_t const enough = std::clamp(
        this->value(), shortest_window_answers, longest_window_answers);
    if (this->open.count >= enough)
    {
        this->close_window();
    }
}

void concurrency_limit::back_off()
{
    this->limit *= back_off_share;
    this->open = {};
    this->clamp();
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(this->limit);
}

duration concurrency_limit::recent_latency() const
{
    return to_duration(this->recent);
}

duration concurrency_limit::low_latency() const
{
    return to_duration(this->low);
}

bool concurrency_limit::in_slow_start() const
{
    return this->slow_starting;
}

void concurrency_limit::close_window()
{
    double const mean = this->open.latency_sum / this->open.count;
    this->follow_low(mean);
    if (this->slow_starting)
    {
        this->grow_from_start(mean);
    }
    else
    {
        this->follow_steady(mean);
    }
    this->clamp();
    this->open = {};
}

// the baseline falls at once and rises slowly, so that it follows lasting
// change without taking a burst for the normal state
void concurrency_limit::follow_low(double mean)
{
    if (this->low == 0 || mean < this->low)
    {
        this->low = mean;
        return;
    }
    this->low += low_drift_share * (mean - this->low);
}

void concurrency_limit::grow_from_start(double mean)
{
    if (this->is_slower(mean, slower_factor) || !this->open.all_in_time)
    {
        this->limit *= too_much_share;
        return;
    }
    if (!this->was_used())
    {
        return;
    }
    this->limit += this->pace == slow_start_pace::cautious ? 1 : this->limit;
    if (this->limit >= this->slots)
    {
        this->slow_starting = false;
    }
}

void concurrency_limit::follow_steady(double mean)
{
    if (this->options.slow_start && this->is_slower(mean, sudden_fall_factor))
    {
        this->restart(slow_start_pace::cautious);
        // what is known of the new speed is better than nothing
        this->recent = mean;
        return;
    }
    // what sheds and failures took comes back with answers
    if (this->was_used())
    {
        this->limit += std::max(1.0, this->limit * steady_growth_share);
    }
}

void concurrency_limit::clamp()
{
    this->limit =
        std::clamp(this->limit, 1.0, static_cast<double>(this->slots));
}

// what schedulers and wake-ups add is no sign of the target's state
bool concurrency_limit::is_slower(double mean, double factor) const
{
    return mean > (factor * this->low) + to_count(scheduling_noise);
}

// an unused limit is no evidence that more would do
bool concurrency_limit::was_used() const
{
    return this->open.peak_in_flight >= this->value();
}

} // namespace endivehinge
