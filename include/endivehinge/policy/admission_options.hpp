#ifndef ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_OPTIONS_HPP

#include <cstddef> // size_t

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
    // refuse at once what the estimate says would wait too long
    bool bound_wait = true;
    // order the queue by priority and deadline; otherwise by arrival
    bool order_by_urgency = true;
    // share of the time left that a request may be expected to wait
    double patience_share = 0.15;
    // places in the queue whatever the estimates say
    std::size_t max_queue_size = 10000;
    // measured latency is not used as an estimate after this long a silence
    duration forget_after = std::chrono::seconds(1);
};

} // namespace endivehinge

#endif
