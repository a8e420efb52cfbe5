#ifndef ENDIVEHINGE_POLICY_CRASH_REPORT_HPP
#define ENDIVEHINGE_POLICY_CRASH_REPORT_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief identifies one crash of a target: the target and its incarnation
using crash_id = strong_type<struct crash_id_tag, std::string>;

/// @brief message between the nodes of a service about a request that was in
///        flight when a target crashed
struct crash_report
{
    request_fingerprint fingerprint;
    crash_id crash;
    // no other request was running on the target when it crashed
    bool isolated = false;
    // time until the report expires
    duration remaining{0};
};

} // namespace endivehinge

#endif
