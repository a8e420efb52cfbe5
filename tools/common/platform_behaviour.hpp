#ifndef ENDIVEHINGE_TOOLS_COMMON_PLATFORM_BEHAVIOUR_HPP
#define ENDIVEHINGE_TOOLS_COMMON_PLATFORM_BEHAVIOUR_HPP

#include <cstdint> // int64_t
#include <string>  // string

#include <nlohmann/json.hpp> // NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE

namespace endivehinge::tools
{

/// @brief how the platform stand-in behaves; each field by its control port
struct platform_behaviour
{
    // none; refuse: connections are refused; hang: calls get no answer;
    // error: each call is answered 503
    std::string outage = "none";
    // added to each answer
    std::int64_t slow_ms = 0;
    // so many next writes take effect and their answers are lost
    std::int64_t lost_write_answers = 0;
    // reads and watches tell what was so many versions ago
    std::int64_t stale_versions = 0;
    // calls in a second; more are counted, and refused where enforced
    std::int64_t writes_per_second = 400;
    std::int64_t reads_per_second = 2000;
    std::int64_t enforces_limits = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_behaviour,
                                   outage,
                                   slow_ms,
                                   lost_write_answers,
                                   stale_versions,
                                   writes_per_second,
                                   reads_per_second,
                                   enforces_limits)

} // namespace endivehinge::tools

#endif
