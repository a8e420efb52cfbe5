#ifndef ENDIVEHINGE_POLICY_CRASH_REPORT_HPP
#define ENDIVEHINGE_POLICY_CRASH_REPORT_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief one death of a target: which target, in which of its runs
using crash_id = strong_type<struct crash_id_tag, std::string>;

/// @brief what nodes of a service tell each other of a request that was in
///        flight when a target died
struct crash_report
{
    request_fingerprint fingerprint;
    crash_id crash;
    // the request ran alone when the target died
    bool isolated = false;
    // until when it counts
    duration remaining{0};
};

} // namespace endivehinge

#endif
