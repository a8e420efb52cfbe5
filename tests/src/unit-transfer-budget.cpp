#include <gtest/gtest.h>

#include <endivehinge/policy/transfer_budget.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};

// 36 nodes request a configuration of 60 KB at the same time
TEST(transfer_budget, a_source_sends_a_long_configuration_to_few_nodes_at_once)
{
    transfer_budget budget;
    int sent = 0;
    for (int node = 0; node < 36; ++node)
    {
        sent += budget.try_spend(60'000, start_time) ? 1 : 0;
    }
    EXPECT_EQ(sent, 4);
    EXPECT_FALSE(budget.try_spend(60'000, start_time + milliseconds(100)));
    EXPECT_TRUE(budget.try_spend(60'000, start_time + milliseconds(400)));
}

// a node that the store refuses still gets a configuration of the largest size
TEST(transfer_budget, one_response_of_any_length_is_sent_after_a_pause)
{
    transfer_budget budget;
    EXPECT_TRUE(budget.try_spend(1'000'000, start_time));
    EXPECT_FALSE(budget.try_spend(60'000, start_time + seconds(3)));
    EXPECT_TRUE(budget.try_spend(1'000'000, start_time + seconds(5)));
}

TEST(transfer_budget, small_responses_are_always_sent)
{
    transfer_budget budget;
    while (budget.try_spend(100'000, start_time))
    {
    }
    EXPECT_TRUE(budget.try_spend(500, start_time));
}

} // namespace
} // namespace endivehinge
