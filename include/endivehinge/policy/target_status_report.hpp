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

/// @brief status that a target reports periodically
struct target_status_report
{
    target_id id;
    endpoint address;
    service_name service;
    failure_domain domain;
    // empty if the report states none
    software_version version;
    std::uint32_t slots = 0;
    target_state state = target_state::ready;
    // increases with each report of an incarnation; identifies late reports
    std::uint64_t sequence = 0;
    // time for which the target still supports only its cold request rate
    duration cold_remaining{0};
    // start of this incarnation, milliseconds since the Unix epoch; 0: unknown
    std::int64_t started_ms = 0;
};

} // namespace endivehinge

#endif
