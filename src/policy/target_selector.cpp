#include <endivehinge/policy/target_selector.hpp>

#include <algorithm> // max
#include <cmath>     // exp2

namespace endivehinge
{
namespace
{

double to_seconds(duration span)
{
    return to_milliseconds(span) / 1000;
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
        if (candidate.load && candidate.load->closed)
        {
            continue;
        }
        double const spread = 1 + this->options.jitter * random();
        double const cost = this->cost(candidate, request) * spread;
        if (!best || cost < best_cost)
        {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

double target_selector::cost(target_candidate const & candidate,
                             placement_request const & request) const
{
    auto const load = candidate.load.value_or(target_load{});
    double const belief =
        candidate.load ? std::exp2(-to_seconds(candidate.load_age) /
                                   to_seconds(this->options.slowdown_half_life))
                       : 0;
    double const slowdown =
        load.slowdown * belief + this->options.usual_slowdown * (1 - belief);
    double const limit = std::max<double>(load.limit, 1);
    double const occupied =
        (load.running + load.waiting + candidate.sent_since) / limit;
    double const work = to_seconds(request.work) * slowdown;
    double const wait = std::max(0.0, occupied - 1 + 1 / limit) * work;
    double const crowded = 1 + this->options.crowding *
                                   std::min(occupied, 1.0) *
                                   std::min(occupied, 1.0);
    double const goal = to_seconds(request.latency_target);
    double const failures =
        std::max(load.failure_share, candidate.failure_share);
    double distance = 0;
    if (!candidate.local)
    {
        distance = candidate.same_domain ? this->options.hop_cost
                                         : this->options.domain_cost;
    }
    return wait + work * crowded +
           goal * (distance + failures * this->options.failure_cost);
}

} // namespace endivehinge
