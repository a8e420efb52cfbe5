#ifndef ENDIVEHINGE_POLICY_RUN_TIME_ESTIMATES_HPP
#define ENDIVEHINGE_POLICY_RUN_TIME_ESTIMATES_HPP

#include <string> // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how long requests of each route run at one target
///
/// A mean to which nothing was added of late is forgotten: it may be that of a
/// time in which the target was slow.
/// @note pure; thread safety: none, the owner serialises
class run_time_estimates
{
public:
    /// @param newest_weight of the newest run in the mean, 0 to 1
    /// @param remembered_for how long a mean holds without a new run
    run_time_estimates(double newest_weight, duration remembered_for);

    /// @brief a request of a route ran to its end
    void add(std::string const & route, duration took, time_point now);

    /// @brief the mean of a route; 0: not known, or not seen of late
    [[nodiscard]] duration of(std::string const & route, time_point now) const;

    /// @brief the mean over all routes; 0: not known
    [[nodiscard]] duration overall() const;

private:
    struct route_mean
    {
        duration mean{0};
        time_point noted;
    };

    [[nodiscard]] duration moved(duration mean, duration newest) const;

    double weight;
    duration memory;
    absl::flat_hash_map<std::string, route_mean> routes;
    duration mean_of_all{0};
};

} // namespace endivehinge

#endif
