#ifndef ENDIVEHINGE_TOOLS_COMMON_TARGET_BEHAVIOUR_HPP
#define ENDIVEHINGE_TOOLS_COMMON_TARGET_BEHAVIOUR_HPP

#include <cstdint> // int64_t
#include <string>  // string

#include <nlohmann/json.hpp> // NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE

#include <common/tool_options.hpp>

namespace endivehinge::tools
{

/// @brief how a target stand-in behaves; each field by its control port
struct target_behaviour
{
    // requests that run at once, and that wait in the target
    std::int64_t slots = 20;
    std::int64_t queue = 20;
    // mean service time, and the factor of the slow tail's share
    std::int64_t service_us = 0;
    std::int64_t tail_factor = 1;
    std::int64_t tail_percent = 0;
    // 1: as usual; more: a straggler
    std::int64_t straggle_factor = 1;
    // cold, ready or draining
    std::string phase = "ready";
    // whether it says its phase; otherwise it says ready
    std::int64_t announces_phase = 1;
    // requests at once that it bears when cold; grows to all slots
    std::int64_t cold_slots = 2;
    std::int64_t warm_up_ms = 2000;
    // running and waiting requests that make a cold target fall; 0: never
    std::int64_t cold_breaking_point = 0;
    // 1: takes requests and answers none until it is 0 again
    std::int64_t frozen = 0;
    // 1: work whose deadline has passed is not started
    std::int64_t honours_deadline = 1;
    // 1: work whose caller hung up is stopped
    std::int64_t honours_cancellation = 1;
    // age of what GET /load tells
    std::int64_t load_lag_ms = 0;
    // what GET /load tells in place of the truth; negative: the truth
    std::int64_t load_lie = -1;
    // a path or body that holds this text ends the process; empty: none does
    std::string dies_on;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_behaviour,
                                   slots,
                                   queue,
                                   service_us,
                                   tail_factor,
                                   tail_percent,
                                   straggle_factor,
                                   phase,
                                   announces_phase,
                                   cold_slots,
                                   warm_up_ms,
                                   cold_breaking_point,
                                   frozen,
                                   honours_deadline,
                                   honours_cancellation,
                                   load_lag_ms,
                                   load_lie,
                                   dies_on)

/// @brief the behaviour that a command line asks for
[[nodiscard]] target_behaviour read_behaviour(tool_options const & options);

} // namespace endivehinge::tools

#endif
