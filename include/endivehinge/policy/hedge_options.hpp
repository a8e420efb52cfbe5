#ifndef ENDIVEHINGE_POLICY_HEDGE_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_HEDGE_OPTIONS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief limits of a hedge_policy
struct hedge_options
{
    // part of this node's requests that may be sent twice; 0: none
    double share = 0;
    // requests of routes with a shorter latency target are not hedged. Set
    // above the targets of the routes that targets call themselves, it keeps
    // hedges from multiplying along a chain of calls
    duration min_latency_target = std::chrono::milliseconds(500);
    // hedges that may be sent at once after a time without
    double burst = 5;
    // quantile of a route's response times after which a request is hedged;
    // above it are as many requests as the usual share allows to hedge
    double quantile = 0.95;
    // relative change of the estimate by a response time; a change of the
    // response times by half is followed within some hundred requests
    double quantile_step = 0.05;
    // response times of a route before its first hedge
    std::uint32_t min_samples = 20;
    // shorter delays hedge requests that wait for the event loop only
    duration min_delay = std::chrono::milliseconds(5);
    // after a target of the service refused a request for lack of capacity
    duration overload_memory = std::chrono::milliseconds(1000);
    // older loads of targets do not show that they have room. The node beside
    // the target checks it again
    duration max_load_age = std::chrono::milliseconds(2000);
    // a target that is slower than this is no better than the first one
    double max_slowdown = 1.5;
    // routes and services with own state; bounds memory to about 100 KB
    std::size_t max_names = 256;
};

} // namespace endivehinge

#endif
