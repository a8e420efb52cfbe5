#include <gtest/gtest.h>

#include <endivehinge/policy/concurrency_limit.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::microseconds;

constexpr std::uint32_t slots = 128;
// slow start raises the limit by one per window of up to 50 responses
constexpr int response_count = 10000;

// latencies of a target whose service time is far below the scheduling delay
duration alternating_latency(int response)
{
    return response % 200 < 100 ? microseconds(100) : microseconds(900);
}

TEST(concurrency_limit, scheduling_delay_does_not_lower_limit)
{
    concurrency_limit limit;
    limit.set_slots(slots);
    limit.restart(slow_start_growth::linear);
    for (int response = 0; response < response_count; ++response)
    {
        limit.record(alternating_latency(response), limit.value(), true);
    }
    EXPECT_EQ(limit.value(), slots);
}

TEST(concurrency_limit, sharp_slowdown_lowers_limit)
{
    concurrency_limit limit;
    limit.set_slots(slots);
    for (int response = 0; response < response_count; ++response)
    {
        limit.record(microseconds(100), limit.value(), true);
    }
    ASSERT_EQ(limit.value(), slots);
    for (int response = 0; response < static_cast<int>(slots); ++response)
    {
        limit.record(microseconds(20000), limit.value(), true);
    }
    EXPECT_LT(limit.value(), slots / 2);
}

} // namespace
} // namespace endivehinge
