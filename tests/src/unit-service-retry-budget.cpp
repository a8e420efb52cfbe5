#include <gtest/gtest.h>

#include <random> // mt19937
#include <vector> // vector

#include <endivehinge/policy/service_retry_budget.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double share = 0.2;
constexpr double burst = 62;
constexpr std::size_t nodes = 13;

TEST(service_retry_budget, the_sum_over_all_nodes_holds_in_every_window)
{
    std::vector<service_retry_budget> budgets(
        nodes, service_retry_budget({share, burst, seconds(10)}));
    std::mt19937 random(1);
    std::vector<time_point> requests;
    std::vector<time_point> repeats;
    auto const begin = time_point(seconds(100));
    // every request wants to be repeated, while the load comes and goes
    for (auto now = begin; now < begin + seconds(60); now += milliseconds(10))
    {
        bool const quiet = (now - begin) / seconds(7) % 3 == 2;
        if (quiet && random() % 20 != 0)
        {
            continue;
        }
        auto & budget = budgets[random() % nodes];
        budget.record_request(now);
        requests.push_back(now);
        if (budget.try_spend(now, nodes))
        {
            repeats.push_back(now);
        }
    }
    ASSERT_GT(repeats.size(), 50U);
    auto const in_window =
        [](std::vector<time_point> const & all, time_point at)
    {
        std::size_t count = 0;
        for (auto const one : all)
        {
            count += one >= at && one < at + seconds(10) ? 1 : 0;
        }
        return static_cast<double>(count);
    };
    for (auto at = begin; at < begin + seconds(50); at += milliseconds(250))
    {
        EXPECT_LE(in_window(repeats, at),
                  share * in_window(requests, at) + burst);
    }
}

TEST(service_retry_budget, what_was_spent_returns_after_the_window)
{
    service_retry_budget budget({share, burst, seconds(10)});
    auto now = time_point(seconds(100));
    int spent = 0;
    while (budget.try_spend(now, 1))
    {
        ++spent;
    }
    EXPECT_GT(spent, 10);
    EXPECT_FALSE(budget.try_spend(now + seconds(9), 1));
    EXPECT_TRUE(budget.try_spend(now + seconds(12), 1));
}

} // namespace
} // namespace endivehinge
