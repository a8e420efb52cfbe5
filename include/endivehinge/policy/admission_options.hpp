#ifndef ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/concurrency_limit.hpp>

namespace endivehinge
{

/// @brief mechanisms and limits of an admission_controller
struct admission_options
{
    concurrency_limit_options concurrency;
    // refuse a request at once if it is expected to miss its deadline
    bool refuse_late = true;
    // refuse a request at once if its expected wait exceeds max_wait_share
    bool bound_wait = true;
    // order the queue by priority and deadline instead of arrival
    bool order_by_urgency = true;
    // longest expected wait, as a share of the time left until the deadline
    double max_wait_share = 0.15;
    // upper bound of the queue length, independent of the estimates
    std::size_t max_queue_size = 10000;
    // without a response for this long, the recent latency is outdated
    duration latency_lifetime = std::chrono::seconds(1);
};

} // namespace endivehinge

#endif
