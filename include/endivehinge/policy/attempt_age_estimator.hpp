#ifndef ENDIVEHINGE_POLICY_ATTEMPT_AGE_ESTIMATOR_HPP
#define ENDIVEHINGE_POLICY_ATTEMPT_AGE_ESTIMATOR_HPP

#include <cstddef> // size_t
#include <deque>   // deque
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief limits of an attempt_age_estimator
struct attempt_age_options
{
    // times kept for each route
    std::size_t samples = 32;
    // times without which nothing is estimated
    std::size_t min_samples = 12;
    // after a refusal, the times that clients state are not learned for this
    // long: they may come from clients that return
    duration refusal_memory = std::chrono::seconds(2);
    // share of the learned times that may be from clients that return after a
    // refusal by another node
    double max_return_share = 0.1;
    // the shortest time of a first attempt, relative to the usual one; clients
    // of one route differ by 15 % on the users' deployments. Where they differ
    // by more, nothing is estimated
    double min_first_share = 0.75;
    // an attempt states less than the shortest time of a first attempt by more
    // than this share if its client returns
    double tolerance = 0.05;
};

/// @brief estimates how long ago a client that returns made its first attempt
///
/// Handles overload in which refused clients return: each attempt is a new
/// request, but states the time that its client has left. Taken for new, a
/// returning request is queued until it is late for its client, and delays
/// requests that are still on time. The usual time of a route is learned while
/// its requests are not refused; an attempt that states much less has used the
/// difference. Where clients of one route state different times, nothing is
/// estimated.
/// @note pure; not thread-safe, the owner serialises all calls
class attempt_age_estimator
{
public:
    explicit attempt_age_estimator(attempt_age_options chosen = {});

    /// @brief records the time that the client of a request has left
    void record_arrival(std::string const & route,
                        duration time_left,
                        time_point now);

    /// @brief records that a request of the route was refused
    void record_refusal(std::string const & route, time_point now);

    /// @brief time since the first attempt of a client
    /// @return 0 if it is the first attempt, or if that is unknown
    [[nodiscard]] duration age(std::string const & route,
                               duration time_left) const;

private:
    struct route_times
    {
        std::deque<duration> samples;
        // 0: unknown, or clients differ
        duration usual_time{0};
        // clients that state less return
        duration first_attempt_time{0};
        time_point last_refusal;
    };

    [[nodiscard]] route_times * times_of(std::string const & route);
    void update_usual_time(route_times & times) const;

    attempt_age_options options;
    absl::flat_hash_map<std::string, route_times> routes;
};

} // namespace endivehinge

#endif
