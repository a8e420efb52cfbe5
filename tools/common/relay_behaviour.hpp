#ifndef ENDIVEHINGE_TOOLS_COMMON_RELAY_BEHAVIOUR_HPP
#define ENDIVEHINGE_TOOLS_COMMON_RELAY_BEHAVIOUR_HPP

#include <cstdint> // int64_t
#include <string>  // string

#include <nlohmann/json.hpp> // NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE

namespace endivehinge::tools
{

/// @brief how a relay treats its link; each field by its control port
struct relay_behaviour
{
    // where connections go on to; empty: they are closed
    std::string to;
    // pass; cut: connections are closed, also new ones; silent: connections,
    // also new ones, are held and nothing passes
    std::string link = "pass";
    // grows: the connections that are open at the change go silent for good
    // while new ones work
    std::int64_t silence_open_connections = 0;
    // added to each way
    std::int64_t delay_ms = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    relay_behaviour, to, link, silence_open_connections, delay_ms)

} // namespace endivehinge::tools

#endif
