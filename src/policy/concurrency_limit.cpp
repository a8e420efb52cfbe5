#include <endivehinge/policy/concurrency_limit.hpp>

#include <algorithm> // clamp, max, min

namespace endivehinge
{
namespace
{

constexpr std::uint32_t min_window_responses = 5;
constexpr std::uint32_t max_window_responses = 50;
constexpr double recent_weight = 0.1;
constexpr double baseline_rise_weight = 0.01;
constexpr double slow_start_latency_factor = 2;
constexpr double slowdown_latency_factor = 5;
constexpr double slow_start_decrease_factor = 0.5;
constexpr double steady_growth_factor = 0.5;
constexpr double back_off_factor = 0.8;
constexpr double initial_share_of_slots = 0.1;
constexpr duration scheduling_noise = std::chrono::milliseconds(2);

double to_nanoseconds(duration value)
{
    return static_cast<double>(value.count());
}

duration to_duration(double nanoseconds)
{
    return duration(static_cast<duration::rep>(nanoseconds));
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options initial_options)
    : options(initial_options)
{
}

void concurrency_limit::set_slots(std::uint32_t announced_slots)
{
    bool const was_at_slots = this->limit >= this->slots;
    this->slots = std::max<std::uint32_t>(announced_slots, 1);
    if (was_at_slots && !this->slow_starting)
    {
        this->limit = this->slots;
    }
    this->clamp();
}

void concurrency_limit::restart(slow_start_growth new_growth)
{
    this->growth = new_growth;
    this->recent_ns = 0;
    this->baseline_ns = 0;
    this->current_window = {};
    this->slow_starting = true;
    this->limit = this->slots * initial_share_of_slots;
    if (!this->options.slow_start)
    {
        this->slow_starting = false;
        this->limit = this->slots;
    }
    this->clamp();
}

void concurrency_limit::set_growth(slow_start_growth new_growth)
{
    this->growth = new_growth;
}

void concurrency_limit::record(duration latency,
                               std::uint32_t in_flight,
                               bool in_time)
{
    double const sample = to_nanoseconds(latency);
    this->recent_ns =
        this->recent_ns == 0
            ? sample
            : this->recent_ns + (recent_weight * (sample - this->recent_ns));
    this->current_window.latency_sum += sample;
    this->current_window.peak_in_flight =
        std::max(this->current_window.peak_in_flight, in_flight);
    this->current_window.all_in_time =
        this->current_window.all_in_time && in_time;
    ++this->current_window.count;
    std::uint32_t const window_responses =
        std::clamp(this->value(), min_window_responses, max_window_responses);
    if (this->current_window.count >= window_responses)
    {
        this->close_window();
    }
}

void concurrency_limit::back_off()
{
    this->limit *= back_off_factor;
    this->current_window = {};
    this->clamp();
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(this->limit);
}

duration concurrency_limit::recent_latency() const
{
    return to_duration(this->recent_ns);
}

duration concurrency_limit::baseline_latency() const
{
    return to_duration(this->baseline_ns);
}

bool concurrency_limit::in_slow_start() const
{
    return this->slow_starting;
}

void concurrency_limit::close_window()
{
    double const mean =
        this->current_window.latency_sum / this->current_window.count;
    this->update_baseline(mean);
    if (this->slow_starting)
    {
        this->adjust_in_slow_start(mean);
    }
    else
    {
        this->adjust_in_steady_state(mean);
    }
    this->clamp();
    this->current_window = {};
}

// The baseline falls at once but rises slowly. It follows a lasting change
// without treating a short burst as the normal state.
void concurrency_limit::update_baseline(double mean)
{
    if (this->baseline_ns == 0 || mean < this->baseline_ns)
    {
        this->baseline_ns = mean;
        return;
    }
    this->baseline_ns += baseline_rise_weight * (mean - this->baseline_ns);
}

void concurrency_limit::adjust_in_slow_start(double mean)
{
    if (this->is_slower(mean, slow_start_latency_factor) ||
        !this->current_window.all_in_time)
    {
        this->limit *= slow_start_decrease_factor;
        return;
    }
    if (!this->limit_was_reached())
    {
        return;
    }
    this->limit += this->growth == slow_start_growth::linear ? 1 : this->limit;
    if (this->limit >= this->slots)
    {
        this->slow_starting = false;
    }
}

void concurrency_limit::adjust_in_steady_state(double mean)
{
    if (this->options.slow_start &&
        this->is_slower(mean, slowdown_latency_factor))
    {
        this->restart(slow_start_growth::linear);
        // keeps the latest mean as an estimate, which restart() has cleared
        this->recent_ns = mean;
        return;
    }
    // responses restore what load shedding and failures took from the limit
    if (this->limit_was_reached())
    {
        this->limit += std::max(1.0, this->limit * steady_growth_factor);
    }
}

void concurrency_limit::clamp()
{
    this->limit =
        std::clamp(this->limit, 1.0, static_cast<double>(this->slots));
}

// A fixed margin is added to the idle latency, because delays of the scheduler
// and of thread wake-ups do not depend on the state of the target.
bool concurrency_limit::is_slower(double mean, double factor) const
{
    return mean >
           (factor * this->baseline_ns) + to_nanoseconds(scheduling_noise);
}

// A limit that was not reached does not show that a higher one is safe.
bool concurrency_limit::limit_was_reached() const
{
    return this->current_window.peak_in_flight >= this->value();
}

} // namespace endivehinge
