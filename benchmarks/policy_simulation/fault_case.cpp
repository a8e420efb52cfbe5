#include "fault_case.hpp"

#include <random>  // mt19937_64, exponential_distribution
#include <utility> // move

namespace endivehinge::simulation
{
namespace
{

constexpr double mean_quiet_ns = 400e6;
constexpr double mean_burst_ns = 100e6;
constexpr double noise_share = mean_burst_ns / (mean_quiet_ns + mean_burst_ns);

} // namespace

fault_case fault_case::make(std::string name, duration length)
{
    fault_case made;
    made.begin = time_point(length / 4);
    made.end = time_point(length / 4 * 3);
    made.noisy = name == "noisy" || name == "straggler";
    made.signals_lie = name == "signals-lie";
    made.short_limits = name == "short-limits";
    made.slots_lie = name == "slots-lie";
    made.straggler = name == "straggler" || made.signals_lie;
    made.drain = name == "drain";
    made.cold = name == "cold";
    made.domain_out = name == "domain-out";
    made.name = std::move(name);
    return made;
}

double fault_case::capacity_left(deployment const & where,
                                 std::size_t instance) const
{
    bool const struck = instance == struck_instance;
    if ((this->drain && struck) ||
        (this->domain_out && where.instances[instance].domain == struck_domain))
    {
        return 0;
    }
    if (this->cold && (struck || instance == struck_silently))
    {
        return 0;
    }
    double left = this->straggler && struck ? straggler_speed : 1;
    left = this->is_weak(instance) ? weak_processors : left;
    if (this->noisy)
    {
        left *= 1 - (noise_share * (1 - noise_left));
    }
    return left;
}

// the second of each service
bool fault_case::is_weak(std::size_t instance) const
{
    return this->slots_lie &&
           (instance == 1 || instance == 5 || instance == 8 || instance == 11);
}

bool fault_case::is_out(deployment const & where,
                        std::size_t instance,
                        time_point now) const
{
    return this->domain_out && now >= this->begin && now < this->end &&
           where.instances[instance].domain == struck_domain;
}

std::vector<noise_burst> fault_case::bursts(std::size_t instance,
                                            duration length,
                                            std::uint64_t seed) const
{
    std::vector<noise_burst> made;
    if (!this->noisy)
    {
        return made;
    }
    std::mt19937_64 random(seed * 1000 + instance);
    std::exponential_distribution<double> quiet(1 / mean_quiet_ns);
    std::exponential_distribution<double> burst(1 / mean_burst_ns);
    auto const draw = [&random](auto & spans)
    {
        return duration(static_cast<duration::rep>(spans(random)));
    };
    time_point now(draw(quiet));
    while (now < time_point(length))
    {
        time_point const quiet_again = now + draw(burst);
        made.push_back({now, quiet_again});
        now = quiet_again + draw(quiet);
    }
    return made;
}

} // namespace endivehinge::simulation
