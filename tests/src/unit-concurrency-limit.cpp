#include <gtest/gtest.h>

#include <endivehinge/policy/concurrency_limit.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::microseconds;

constexpr std::uint32_t slots = 128;
// slow start adds one place for each window of up to 50 answers
constexpr int enough_answers = 10000;

// the latencies of a target far faster than the scheduler's steps
duration wobbling(int answer)
{
    return answer % 200 < 100 ? microseconds(100) : microseconds(900);
}

TEST(concurrency_limit, waits_of_the_scheduler_do_not_take_room)
{
    concurrency_limit limit;
    limit.set_slots(slots);
    limit.restart(slow_start_pace::cautious);
    for (int answer = 0; answer < enough_answers; ++answer)
    {
        limit.record(wobbling(answer), limit.value(), true);
    }
    EXPECT_EQ(limit.value(), slots);
}

TEST(concurrency_limit, a_target_that_slows_down_by_much_loses_room)
{
    concurrency_limit limit;
    limit.set_slots(slots);
    for (int answer = 0; answer < enough_answers; ++answer)
    {
        limit.record(microseconds(100), limit.value(), true);
    }
    ASSERT_EQ(limit.value(), slots);
    for (int answer = 0; answer < static_cast<int>(slots); ++answer)
    {
        limit.record(microseconds(20000), limit.value(), true);
    }
    EXPECT_LT(limit.value(), slots / 2);
}

} // namespace
} // namespace endivehinge
