#ifndef ENDIVEHINGE_POLICY_HEDGE_POLICY_HPP
#define ENDIVEHINGE_POLICY_HEDGE_POLICY_HPP

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/hedge_limit.hpp>
#include <endivehinge/policy/hedge_options.hpp>
#include <endivehinge/policy/service_route.hpp>
#include <endivehinge/policy/target_candidate.hpp>

namespace endivehinge
{

/// @brief whether a target runs a further request without a wait
/// @note pure; thread safety: any thread
[[nodiscard]] bool can_start_at_once(target_load const & load);

/// @brief decides which requests are sent to a second target and when
///
/// Handles a target that is slow for a fraction of a second, or stands still,
/// while the others have room: a request that takes longer than nearly all of
/// its route is sent to a second target, and the first answer counts. Does
/// nothing while the service lacks capacity, when most requests take long and a
/// second one would make it worse.
/// @note pure; not thread-safe, the owner serialises all calls
class hedge_policy
{
public:
    explicit hedge_policy(hedge_options chosen = {});

    /// @brief counts a request that begins at this node; each allows a share of
    /// a hedge
    void record_request();

    /// @brief adds the time from the placement of a request to its answer, or
    /// to its end if that came before
    void record_response_time(service_route const & route,
                              duration response_time);

    /// @brief records that a target refused a request for lack of capacity
    void record_overload(service_name const & service, time_point now);

    /// @brief time from the placement of a request until it is hedged
    /// @return no value if requests of the route are not hedged at present
    [[nodiscard]] std::optional<duration>
    delay(service_route const & route) const;

    /// @brief the limit that forbids a hedge now, apart from those of targets
    /// @param time_left until the deadline of the request
    /// @param run_time expected run time of the request
    [[nodiscard]] hedge_limit check(service_route const & route,
                                    service_name const & service,
                                    duration time_left,
                                    duration run_time,
                                    time_point now) const;

    /// @brief whether a target has room for a request that starts at once
    [[nodiscard]] bool has_room(target_candidate const & candidate) const;

    /// @brief uses one hedge of the share
    /// @pre check() returned none
    void record_hedge();

private:
    struct route_state
    {
        std::uint32_t samples = 0;
        duration quantile{0};
    };

    hedge_options options;
    double tokens = 0;
    absl::flat_hash_map<std::string, route_state> routes;
    absl::flat_hash_map<service_name, time_point> overloads;
};

} // namespace endivehinge

#endif
