#ifndef ENDIVEHINGE_POLICY_CRASH_REPORT_HPP
#define ENDIVEHINGE_POLICY_CRASH_REPORT_HPP

#include <cstdint> // int64_t
#include <string>  // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief identifies one crash of a target: the target and its incarnation
using crash_id = strong_type<struct crash_id_tag, std::string>;

/// @brief whether a request is likely in flight at any crash
enum class request_frequency
{
    unknown,
    frequent, // a target completed it a moment ago
};

/// @brief message between the nodes of a service about a request that was in
///        flight when a target crashed
struct crash_report
{
    request_fingerprint fingerprint;
    crash_id crash;
    // no other request, or no other suspect, was running on the target when it
    // crashed
    bool isolated = false;
    // time until the report expires
    duration remaining{0};
    // as the node of the target knows it
    request_frequency frequency = request_frequency::unknown;
};

/// @brief a request that crashes targets, as published with a target's entry
struct quarantined_request
{
    request_fingerprint fingerprint;
    // milliseconds since the Unix epoch
    std::int64_t expires_ms = 0;

    friend bool operator==(quarantined_request const & a,
                           quarantined_request const & b)
    {
        return a.fingerprint == b.fingerprint && a.expires_ms == b.expires_ms;
    }
};

} // namespace endivehinge

#endif
