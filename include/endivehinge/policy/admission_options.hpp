#ifndef ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/concurrency_limit.hpp>

namespace endivehinge
{

/// @brief which mechanisms an admission controller uses, and its bounds
struct admission_options
{
    concurrency_limit_options concurrency;
    // refuse at once what the estimate says would be answered late
    bool refuse_late = true;
    // order the queue by priority and deadline; otherwise by arrival
    bool order_by_urgency = true;
    // places in the queue for each request that may run at once
    double queue_places_per_running = 2;
    // measured latency is not used as an estimate after this long a silence
    duration forget_after = std::chrono::seconds(1);
};

} // namespace endivehinge

#endif
