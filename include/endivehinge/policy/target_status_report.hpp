#ifndef ENDIVEHINGE_POLICY_TARGET_STATUS_REPORT_HPP
#define ENDIVEHINGE_POLICY_TARGET_STATUS_REPORT_HPP

#include <cstdint> // int64_t, uint32_t, uint64_t
#include <string>  // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/target_entry.hpp>

namespace endivehinge
{

/// @brief a target's periodic report of itself
struct target_status_report
{
    target_id id;
    endpoint address;
    service_name service;
    failure_domain domain;
    std::uint32_t slots = 0;
    target_state state = target_state::ready;
    // grows with each report of one run; tells late ones
    std::uint64_t sequence = 0;
    // how much longer it bears only the cold rate
    duration cold_remaining{0};
    // start of this run, milliseconds since the Unix epoch; 0: not stated
    std::int64_t started_ms = 0;
};

} // namespace endivehinge

#endif
