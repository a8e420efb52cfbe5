#include <gtest/gtest.h>

#include "simulation/admission_simulation.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief every target is slow for eight seconds, from the second second on
admission_simulation_plan all_slow(double factor)
{
    admission_simulation_plan plan;
    plan.slowdown = [factor](std::size_t, duration since)
    {
        return since >= seconds(2) && since < seconds(10) ? factor : 1.0;
    };
    return plan;
}

class admission_simulation_test : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    static admission_simulation play(admission_simulation_plan const & plan,
                                     duration interval)
    {
        admission_simulation replay(plan, GetParam());
        replay.arrive(seconds(0), seconds(14), interval);
        replay.run();
        return replay;
    }
};

// 20 requests a second; a run of 480 ms ends within the time limit, and the
// slots of three targets hold all of them
TEST_P(admission_simulation_test,
       targets_that_all_stay_slow_serve_what_ends_in_time)
{
    auto const replay = play(all_slow(12), milliseconds(50));
    auto const slow = replay.summary(seconds(2), seconds(10));
    EXPECT_EQ(slow.unanswered, 0U);
    EXPECT_EQ(slow.answered(), 160U);
    EXPECT_EQ(replay.summary(seconds(0), seconds(1)).on_time, 20U);
    EXPECT_EQ(replay.summary(seconds(11), seconds(14)).on_time, 60U);
}

// no run of 1,200 ms can end within the time limit
TEST_P(admission_simulation_test,
       what_no_slow_target_can_serve_is_refused_early)
{
    auto const replay = play(all_slow(30), milliseconds(50));
    auto const slow = replay.summary(seconds(4), seconds(10));
    EXPECT_GE(slow.refused, 110U);
    EXPECT_LT(slow.longest_refusal, milliseconds(300));
    EXPECT_EQ(replay.summary(seconds(11), seconds(14)).on_time, 60U);
}

// the usual noise: each target is slow in some periods of 150 ms
TEST_P(admission_simulation_test,
       short_slow_periods_cost_few_answers_their_time)
{
    admission_simulation_plan plan;
    plan.slowdown = [](std::size_t target, duration since)
    {
        auto const period = static_cast<std::size_t>(since / milliseconds(150));
        return (period * 7 + target * 5) % 11 < 3 ? 5.0 : 1.0;
    };
    auto const replay = play(plan, milliseconds(20));
    auto const all = replay.summary(seconds(1), seconds(14));
    EXPECT_EQ(all.answered(), 650U);
    EXPECT_GE(all.on_time, 640U);
}

// two of four targets are slow for eight seconds, the usual noise goes on, and
// more comes than the slots can run
TEST_P(admission_simulation_test,
       overload_among_slow_targets_is_refused_not_held)
{
    admission_simulation_plan plan;
    plan.targets = 4;
    plan.slots = 12;
    plan.work = milliseconds(72);
    plan.slowdown = [](std::size_t target, duration since)
    {
        auto const period = static_cast<std::size_t>(since / milliseconds(150));
        double const noise = (period * 7 + target * 5) % 11 < 3 ? 5.0 : 1.0;
        bool const slow =
            target < 2 && since >= seconds(2) && since < seconds(10);
        return slow ? 12 * noise : noise;
    };
    auto const replay = play(plan, milliseconds(4));
    auto const slow = replay.summary(seconds(2), seconds(10));
    EXPECT_LE(slow.unanswered, 20U) << "1 in 100";
    EXPECT_GE(slow.on_time, 1000U) << "half; two targets are slow";
    EXPECT_LE(slow.most_placements, 12U) << "three rounds over four targets";
    EXPECT_GE(replay.summary(seconds(11), seconds(14)).on_time, 590U);
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         admission_simulation_test,
                         ::testing::Range(1UL, 6UL));

} // namespace
} // namespace endivehinge::tests
