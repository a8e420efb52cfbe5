#ifndef ENDIVEHINGE_POLICY_CONCURRENCY_ESTIMATE_HPP
#define ENDIVEHINGE_POLICY_CONCURRENCY_ESTIMATE_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <deque>   // deque
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief limits of a concurrency_estimate
struct concurrency_estimate_options
{
    // run times kept for each route and level; the lower quartile of 16 is the
    // fifth smallest, so that one or two outliers do not matter
    std::size_t samples_per_level = 16;
    // run times that a level needs before it is compared with others: few,
    // since a slow level is used until it has them
    std::size_t min_samples = 6;
    // a run time expires after this, so that a level that was slow once is
    // tried again; slowing down when nearly full is a property of the software
    // that a target runs, which changes by its replacement
    duration max_sample_age = std::chrono::seconds(60);
    // a higher level is used only if it completes at least this much more
    // requests a second: longer run times cost latency as well
    double min_gain = 1.05;
    // standard error of the logarithm of a lower quartile, times the square
    // root of the number of run times; 1.36 times their relative deviation of
    // 0.3 on the users' deployments
    double quartile_error = 0.41;
};

/// @brief learns whether a target completes more requests a second if its last
/// slots are used too
///
/// Handles targets that slow down when nearly full, targets that do not, and
/// targets that change over from one to the other: compares the run times of
/// requests that started beside many others with those that started beside
/// fewer, route by route. The lower quartile is compared, since the time that a
/// request waits for its own calls rises with the load of other services and
/// lengthens only some of the requests. A difference within the standard error
/// does not count: a level once given up has no new run times to correct it.
///
/// The levels of concurrency are half of the slots and a tenth more each. Eight
/// tenths are always used. A level without enough run times counts as no slower
/// than the one below it, so it is tried under load.
/// @note pure; not thread-safe, the owner serialises all calls
class concurrency_estimate
{
public:
    explicit concurrency_estimate(concurrency_estimate_options chosen = {});

    /// @brief sets the number of slots of the target; discards all run times
    /// if it changes
    /// @pre count is at least 1
    void set_slots(std::uint32_t count);

    /// @brief records the run time of a completed request
    /// @param concurrency number of requests that ran when it started, itself
    /// included
    /// @param run_time run time on a target without slowdown by its neighbours
    void record(std::string const & route,
                std::size_t concurrency,
                duration run_time,
                time_point now);

    /// @brief number of requests that the target should run concurrently;
    /// at least 1
    [[nodiscard]] std::size_t limit() const;

    /// @brief discards all run times: they stem from an earlier incarnation
    void reset();

private:
    static constexpr std::size_t level_count = 6;

    struct sample
    {
        duration run_time;
        time_point recorded_at;
    };

    struct level
    {
        std::deque<sample> samples;
        // lower quartile of the run times in milliseconds; 0: too few samples
        double quartile = 0;
    };

    using route_levels = std::array<level, level_count>;

    [[nodiscard]] std::size_t slots_of(std::size_t index) const;
    [[nodiscard]] std::size_t level_of(std::size_t concurrency) const;
    void remove_expired(level & measured, time_point now) const;
    void remove_unused_routes(time_point now);
    void update_quartile(level & measured) const;
    /// @brief run time at a level relative to the lowest level with run times,
    /// over all routes, less its standard error; 0 if it is unknown
    [[nodiscard]] double slowdown_at(std::size_t index) const;
    void update_limit();

    concurrency_estimate_options options;
    std::uint32_t slots = 1;
    std::size_t current_limit = 1;
    absl::flat_hash_map<std::string, route_levels> routes;
};

} // namespace endivehinge

#endif
