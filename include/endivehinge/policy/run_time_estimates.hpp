#ifndef ENDIVEHINGE_POLICY_RUN_TIME_ESTIMATES_HPP
#define ENDIVEHINGE_POLICY_RUN_TIME_ESTIMATES_HPP

#include <string> // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief exponentially weighted mean run time of each route on one target
///
/// A mean without recent samples is discarded: it may stem from a period in
/// which the target was slow.
/// @note pure; not thread-safe, the owner serialises all calls
class run_time_estimates
{
public:
    /// @param newest_weight weight of the newest sample, 0 to 1
    /// @param max_age how long a mean is valid without a new sample
    run_time_estimates(double newest_weight, duration max_age);

    /// @brief adds the run time of a completed request
    void add(std::string const & route, duration run_time, time_point now);

    /// @brief mean run time of a route; 0: no recent sample
    [[nodiscard]] duration mean_for(std::string const & route,
                                    time_point now) const;

    /// @brief mean run time over all routes; 0: no sample
    [[nodiscard]] duration overall_mean() const;

private:
    struct route_mean
    {
        duration mean{0};
        time_point updated_at;
    };

    [[nodiscard]] duration updated_mean(duration mean, duration newest) const;

    double weight;
    duration mean_max_age;
    absl::flat_hash_map<std::string, route_mean> routes;
    duration all_routes_mean{0};
};

} // namespace endivehinge

#endif
