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
    int first_tries;
    int callers_retries;
    int granted;
};

TEST(retry_budget, extra_tries_are_a_share_of_first_tries)
{
    for (auto const & row : std::vector<budget_case>{
             {0, 0, 10}, // what may be saved up at the start
             {1000, 0, 10},
             {0, 4, 6},
             {0, 50, 0},
         })
    {
        retry_budget budget(0.1, 10);
        for (int count = 0; count < row.first_tries; ++count)
        {
            budget.record_request(attempt_origin::first);
        }
        for (int count = 0; count < row.callers_retries; ++count)
        {
            budget.record_request(attempt_origin::caller_retry);
        }
        int granted = 0;
        while (budget.try_spend())
        {
            ++granted;
        }
        EXPECT_EQ(granted, row.granted);
        EXPECT_LT(budget.left(), 1);
    }
}

// one request at the top, every target at the bottom refuses: each level asks
// its own node's budget, and a refusal is an answer to the level above
TEST(retry_budget, a_chain_of_sixteen_does_not_multiply)
{
    constexpr int depth = 16;
    constexpr int requests = 10000;
    constexpr double share = 0.1;
    constexpr double burst = 10;
    std::vector<retry_budget> nodes(depth, retry_budget(share, burst));
    int tries_at_bottom = 0;
    for (int request = 0; request < requests; ++request)
    {
        for (auto & node : nodes)
        {
            node.record_request(attempt_origin::first);
        }
        ++tries_at_bottom;
        if (nodes.back().try_spend())
        {
            ++tries_at_bottom;
        }
    }
    EXPECT_LE(tries_at_bottom, requests * (1 + share) + burst);
}

// even where every level retries, as targets of others may do, a level's
// callers' retries use up its own budget
TEST(retry_budget, retries_of_callers_are_not_retried_again)
{
    retry_budget budget(0.1, 10);
    int extra = 0;
    for (int request = 0; request < 1000; ++request)
    {
        budget.record_request(attempt_origin::first);
        budget.record_request(attempt_origin::caller_retry);
        extra += budget.try_spend() ? 1 : 0;
    }
    EXPECT_LE(extra, 10);
}

TEST(retry_budget, never_grants_more_than_its_share_and_burst)
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
            ASSERT_LE(budget.left(), 5);
        }
    }
}

} // namespace
} // namespace endivehinge
