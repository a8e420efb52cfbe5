#include <gtest/gtest.h>

#include <endivehinge/policy/request_attempts.hpp>

namespace endivehinge::tests
{
namespace
{

TEST(request_attempts, a_silent_attempt_counts_and_may_have_run)
{
    request_attempts attempts;
    auto const first = attempts.start();
    EXPECT_TRUE(attempts.any_confirmed());
    EXPECT_EQ(attempts.arrivals(), 0U);
    attempts.record_silence(first);
    EXPECT_FALSE(attempts.any_confirmed());
    EXPECT_TRUE(attempts.any_running());
    EXPECT_TRUE(attempts.may_have_run());
    EXPECT_EQ(attempts.arrivals(), 1U);
}

TEST(request_attempts, a_late_refusal_of_a_silent_attempt_is_believed)
{
    request_attempts attempts;
    auto const first = attempts.start();
    attempts.record_silence(first);
    attempts.record_refusal(first, false);
    EXPECT_FALSE(attempts.any_running());
    EXPECT_FALSE(attempts.may_have_run());
    EXPECT_EQ(attempts.arrivals(), 0U);
}

TEST(request_attempts, a_refusal_does_not_hide_another_unknown_outcome)
{
    request_attempts attempts;
    auto const first = attempts.start();
    attempts.record_silence(first);
    auto const second = attempts.start();
    EXPECT_TRUE(attempts.any_confirmed());
    attempts.record_refusal(second, true);
    EXPECT_FALSE(attempts.any_confirmed());
    attempts.record_unknown_outcome(first, true);
    EXPECT_FALSE(attempts.any_running());
    EXPECT_TRUE(attempts.may_have_run());
    EXPECT_EQ(attempts.arrivals(), 2U);
}

TEST(request_attempts, an_answer_is_an_execution)
{
    request_attempts attempts;
    attempts.record_answer(attempts.start());
    EXPECT_FALSE(attempts.any_running());
    EXPECT_TRUE(attempts.may_have_run());
    EXPECT_EQ(attempts.arrivals(), 1U);
}

} // namespace
} // namespace endivehinge::tests
