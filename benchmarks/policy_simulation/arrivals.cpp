#include "arrivals.hpp"

#include <algorithm> // max
#include <random>    // mt19937_64, exponential_distribution

namespace endivehinge::simulation
{
namespace
{

constexpr double shortest_work_ns = 4e6;
constexpr double mean_extra_work_ns = 4e6;
constexpr std::chrono::milliseconds usual_time_limit(250);
// what is left deep in a chain of calls
constexpr std::chrono::milliseconds short_time_limit(25);
constexpr double short_limit_share = 0.3;
constexpr double internal_check_share = 0.02;
constexpr double repeatable_share = 0.7;

double capacity_of(deployment const & where,
                   fault_case const & faults,
                   std::size_t service)
{
    double targets = 0;
    for (std::size_t index = 0; index < where.instances.size(); ++index)
    {
        if (where.instances[index].service == service)
        {
            targets += faults.capacity_left(where, index);
        }
    }
    return targets * where.slots / (shortest_work_ns + mean_extra_work_ns);
}

std::size_t draw_ingress(deployment const & where,
                         fault_case const & faults,
                         time_point now,
                         std::mt19937_64 & random)
{
    std::uniform_int_distribution<std::size_t> any(0,
                                                   where.instances.size() - 1);
    std::size_t drawn = any(random);
    while (faults.is_out(where, drawn, now))
    {
        drawn = any(random);
    }
    return drawn;
}

} // namespace

duration mean_work()
{
    return duration(
        static_cast<duration::rep>(shortest_work_ns + mean_extra_work_ns));
}

std::vector<arrival> make_arrivals(deployment const & where,
                                   fault_case const & faults,
                                   double load,
                                   duration length,
                                   std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> capacities;
    double total = 0;
    for (std::size_t service = 0; service <= where.instances.back().service;
         ++service)
    {
        capacities.push_back(capacity_of(where, faults, service));
        total += capacities.back();
    }
    std::exponential_distribution<double> gap(total * load);
    std::exponential_distribution<double> extra(1 / mean_extra_work_ns);
    std::discrete_distribution<std::size_t> service(capacities.begin(),
                                                    capacities.end());
    std::bernoulli_distribution internal(internal_check_share);
    std::bernoulli_distribution repeatable(repeatable_share);
    std::bernoulli_distribution is_short(short_limit_share);
    std::vector<arrival> made;
    double now = gap(random);
    while (now < static_cast<double>(length.count()))
    {
        arrival next;
        next.at = time_point(duration(static_cast<duration::rep>(now)));
        next.ingress = draw_ingress(where, faults, next.at, random);
        next.service = service(random);
        next.work = duration(
            static_cast<duration::rep>(shortest_work_ns + extra(random)));
        next.urgency =
            internal(random) ? priority::internal_check : priority::interactive;
        next.repeatable = repeatable(random);
        next.time_limit = faults.short_limits && is_short(random)
                              ? short_time_limit
                              : usual_time_limit;
        made.push_back(next);
        now += gap(random);
    }
    return made;
}

} // namespace endivehinge::simulation
