#include <endivehinge/policy/concurrency_estimate.hpp>

#include <algorithm> // all_of, find_if, max, nth_element
#include <cmath>     // exp, sqrt
#include <cstddef>   // ptrdiff_t
#include <vector>    // vector

namespace endivehinge
{
namespace
{

// bounds memory; further routes are not compared while all of these are in use
constexpr std::size_t max_routes = 64;
constexpr std::size_t lowest_level_tenths = 5;
// eight tenths of the slots: beyond them, targets that slow down when nearly
// full took 1.7 times as long, see docs/design/load.md
constexpr std::size_t always_used_level = 3;

} // namespace

concurrency_estimate::concurrency_estimate(concurrency_estimate_options chosen)
    : options(chosen)
{
}

void concurrency_estimate::set_slots(std::uint32_t count)
{
    if (count != this->slots)
    {
        this->slots = count;
        this->reset();
    }
}

void concurrency_estimate::reset()
{
    this->routes.clear();
    this->current_limit = this->slots;
}

void concurrency_estimate::record(std::string const & route,
                                  std::size_t concurrency,
                                  duration run_time,
                                  time_point now)
{
    if (this->routes.size() >= max_routes && !this->routes.contains(route))
    {
        this->remove_unused_routes(now);
        if (this->routes.size() >= max_routes)
        {
            return;
        }
    }
    auto & levels = this->routes[route];
    for (auto & measured : levels)
    {
        this->remove_expired(measured, now);
    }
    auto & measured = levels[this->level_of(concurrency)];
    measured.samples.push_back({run_time, now});
    if (measured.samples.size() > this->options.samples_per_level)
    {
        measured.samples.pop_front();
    }
    this->update_quartile(measured);
    this->update_limit();
}

std::size_t concurrency_estimate::limit() const
{
    return this->current_limit;
}

std::size_t concurrency_estimate::slots_of(std::size_t index) const
{
    return std::max<std::size_t>(
        this->slots * (lowest_level_tenths + index) / 10, 1);
}

std::size_t concurrency_estimate::level_of(std::size_t concurrency) const
{
    std::size_t index = 0;
    while (index + 1 < level_count && this->slots_of(index) < concurrency)
    {
        ++index;
    }
    return index;
}

void concurrency_estimate::remove_expired(level & measured,
                                          time_point now) const
{
    auto & samples = measured.samples;
    auto const count = samples.size();
    while (!samples.empty() &&
           now - samples.front().recorded_at > this->options.max_sample_age)
    {
        samples.pop_front();
    }
    if (samples.size() != count)
    {
        this->update_quartile(measured);
    }
}

void concurrency_estimate::remove_unused_routes(time_point now)
{
    absl::erase_if(
        this->routes,
        [this, now](auto const & entry)
        {
            return std::all_of(
                entry.second.begin(),
                entry.second.end(),
                [this, now](level const & measured)
                {
                    return measured.samples.empty() ||
                           now - measured.samples.back().recorded_at >
                               this->options.max_sample_age;
                });
        });
}

void concurrency_estimate::update_quartile(level & measured) const
{
    if (measured.samples.size() < this->options.min_samples)
    {
        measured.quartile = 0;
        return;
    }
    std::vector<duration> run_times;
    run_times.reserve(measured.samples.size());
    for (auto const & entry : measured.samples)
    {
        run_times.push_back(entry.run_time);
    }
    auto const position =
        run_times.begin() + static_cast<std::ptrdiff_t>(run_times.size() / 4);
    std::nth_element(run_times.begin(), position, run_times.end());
    measured.quartile = to_milliseconds(*position);
}

double concurrency_estimate::slowdown_at(std::size_t index) const
{
    double sum = 0;
    double weight = 0;
    for (auto const & [route, levels] : this->routes)
    {
        auto const & measured = levels[index];
        auto const * const base =
            std::find_if(levels.begin(),
                         levels.begin() + static_cast<std::ptrdiff_t>(index),
                         [](level const & lower)
                         {
                             return lower.quartile > 0;
                         });
        if (base == levels.begin() + static_cast<std::ptrdiff_t>(index) ||
            measured.quartile == 0)
        {
            continue;
        }
        auto const count = static_cast<double>(measured.samples.size());
        auto const base_count = static_cast<double>(base->samples.size());
        double const error = this->options.quartile_error *
                             std::sqrt(1 / count + 1 / base_count);
        sum += count * measured.quartile / base->quartile * std::exp(-error);
        weight += count;
    }
    return weight > 0 ? sum / weight : 0;
}

void concurrency_estimate::update_limit()
{
    double slowdown = 1;
    double best = 0;
    for (std::size_t index = 1; index < level_count; ++index)
    {
        if (auto const measured = this->slowdown_at(index); measured > 0)
        {
            slowdown = measured;
        }
        if (index < always_used_level)
        {
            continue;
        }
        double const throughput =
            static_cast<double>(this->slots_of(index)) / slowdown;
        if (throughput >= best * this->options.min_gain)
        {
            best = throughput;
            this->current_limit = this->slots_of(index);
        }
    }
}

} // namespace endivehinge
