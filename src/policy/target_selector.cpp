#include <endivehinge/policy/target_selector.hpp>

#include <algorithm> // max
#include <cmath>     // exp2

namespace endivehinge
{
namespace
{

double to_seconds(duration value)
{
    return to_milliseconds(value) / 1000;
}

/// @brief expected wait for the rate limit of a cold target, in seconds
double cold_wait(target_candidate const & candidate, target_load const & load)
{
    return to_seconds(load.start_delay +
                      load.start_interval * candidate.sent_since -
                      candidate.load_age);
}

} // namespace

target_selector::target_selector(target_selector_options chosen)
    : options(chosen)
{
}

std::optional<std::size_t>
target_selector::choose(std::vector<target_candidate> const & candidates,
                        placement_request const & request,
                        std::function<double()> const & random) const
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const & candidate = candidates[i];
        if (this->is_closed(candidate))
        {
            continue;
        }
        double const jitter_factor = 1 + this->options.jitter * random();
        double const cost = this->cost(candidate, request) * jitter_factor;
        if (!best || cost < best_cost)
        {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

bool target_selector::is_closed(target_candidate const & candidate) const
{
    return candidate.load && candidate.load->closed &&
           candidate.load_age < this->options.closed_max_age;
}

double target_selector::cost(target_candidate const & candidate,
                             placement_request const & request) const
{
    auto const load = candidate.load.value_or(target_load{});
    double const report_weight =
        candidate.load ? std::exp2(-to_seconds(candidate.load_age) /
                                   to_seconds(this->options.slowdown_half_life))
                       : 0;
    double const reported_slow =
        load.slowdown > this->options.slow_threshold ? 1 : 0;
    double const slow_share =
        reported_slow * report_weight +
        this->options.default_slow_share * (1 - report_weight);
    double const limit = std::max<double>(load.limit, 1);
    double const occupancy =
        (load.running + load.waiting + candidate.sent_since) / limit;
    double const run_time = to_seconds(request.run_time);
    double const slot_wait =
        std::max(0.0, occupancy - 1 + 1 / limit) * run_time;
    double const wait = std::max(slot_wait, cold_wait(candidate, load));
    double const load_factor = 1 + this->options.full_load_penalty *
                                       std::min(occupancy, 1.0) *
                                       std::min(occupancy, 1.0);
    double const latency_target = to_seconds(request.latency_target);
    double const failure_share =
        std::max(load.failure_share, candidate.failure_share);
    double distance_cost = 0;
    if (!candidate.local)
    {
        distance_cost = candidate.same_domain
                            ? this->options.local_domain_cost
                            : this->options.remote_domain_cost;
    }
    return wait + run_time * load_factor +
           latency_target *
               (distance_cost + slow_share * this->options.decline_cost +
                failure_share * this->options.failure_cost);
}

} // namespace endivehinge
