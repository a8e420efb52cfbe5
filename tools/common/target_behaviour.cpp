#include <common/target_behaviour.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr std::int64_t microseconds_per_millisecond = 1000;

} // namespace

target_behaviour read_behaviour(tool_options const & options)
{
    target_behaviour result;
    result.slots = options.number("slots", result.slots);
    result.queue = options.number("queue", result.slots);
    result.service_us = options.number("service_us",
                                       options.number("service_ms", 0) *
                                           microseconds_per_millisecond);
    result.tail_factor = options.number("tail_factor", result.tail_factor);
    result.tail_percent = options.number("tail_percent", result.tail_percent);
    result.phase = options.text("phase", result.phase);
    result.cold_slots = options.number("cold_slots", result.cold_slots);
    result.warm_up_ms = options.number("warm_up_ms", result.warm_up_ms);
    result.cold_breaking_point =
        options.number("cold_breaking_point", result.cold_breaking_point);
    result.dies_on = options.text("dies_on", result.dies_on);
    return result;
}

} // namespace endivehinge::tools
