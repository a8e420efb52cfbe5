#include <gtest/gtest.h>

#include <random> // mt19937_64
#include <vector> // vector

#include <endivehinge/policy/retry_budget.hpp>

namespace endivehinge
{
namespace
{

struct budget_case
{
    int first_attempts;
    int caller_retries;
    int granted;
};

TEST(retry_budget, retries_are_limited_to_ratio_of_first_attempts)
{
    for (auto const & test_case : std::vector<budget_case>{
             {0, 0, 10}, // initial burst
             {1000, 0, 10},
             {0, 4, 6},
             {0, 50, 0},
         })
    {
        retry_budget budget(0.1, 10);
        for (int count = 0; count < test_case.first_attempts; ++count)
        {
            budget.record_request(attempt_origin::first);
        }
        for (int count = 0; count < test_case.caller_retries; ++count)
        {
            budget.record_request(attempt_origin::caller_retry);
        }
        int granted = 0;
        while (budget.try_spend())
        {
            ++granted;
        }
        EXPECT_EQ(granted, test_case.granted);
        EXPECT_LT(budget.available(), 1);
    }
}

// Every target of the last level refuses. Each level has its own node's budget,
// and only the node that placed the refused request retries it; the level above
// receives the refusal as a response.
TEST(retry_budget, retries_do_not_multiply_along_chain_of_sixteen)
{
    constexpr int depth = 16;
    constexpr int requests = 10000;
    constexpr double ratio = 0.1;
    constexpr double burst = 10;
    std::vector<retry_budget> nodes(depth, retry_budget(ratio, burst));
    int attempts_at_last_level = 0;
    for (int request = 0; request < requests; ++request)
    {
        for (auto & node : nodes)
        {
            node.record_request(attempt_origin::first);
        }
        ++attempts_at_last_level;
        if (nodes.back().try_spend())
        {
            ++attempts_at_last_level;
        }
    }
    EXPECT_LE(attempts_at_last_level, requests * (1 + ratio) + burst);
}

// Targets may retry on their own at every level, outside the control of this
// project. Callers' retries therefore use up the budget of the level they
// reach.
TEST(retry_budget, retries_from_callers_are_not_retried)
{
    retry_budget budget(0.1, 10);
    int retries = 0;
    for (int request = 0; request < 1000; ++request)
    {
        budget.record_request(attempt_origin::first);
        budget.record_request(attempt_origin::caller_retry);
        retries += budget.try_spend() ? 1 : 0;
    }
    EXPECT_LE(retries, 10);
}

TEST(retry_budget, retries_never_exceed_ratio_and_burst)
{
    for (unsigned seed = 1; seed <= 8; ++seed)
    {
        std::mt19937_64 random(seed);
        retry_budget budget(0.2, 5);
        double earned = 5;
        int spent = 0;
        for (int step = 0; step < 10000; ++step)
        {
            if (random() % 3 == 0)
            {
                budget.record_request(attempt_origin::first);
                earned += 0.2;
            }
            else
            {
                spent += budget.try_spend() ? 1 : 0;
            }
            ASSERT_LE(spent, earned + 1e-6);
            ASSERT_LE(budget.available(), 5);
        }
    }
}

} // namespace
} // namespace endivehinge
