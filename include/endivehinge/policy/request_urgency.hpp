#ifndef ENDIVEHINGE_POLICY_REQUEST_URGENCY_HPP
#define ENDIVEHINGE_POLICY_REQUEST_URGENCY_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how soon a request has to be answered, and before which others
struct request_urgency
{
    // 0 is the most urgent
    std::uint32_t rank = 0;
    // an answer after this time is worth less
    time_point target_time;
    // an answer after this time is worth nothing
    time_point deadline;
};

} // namespace endivehinge

#endif
