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

constexpr double retry_share = 0.2;
constexpr double burst = 62;
constexpr std::size_t nodes = 13;

TEST(service_retry_budget, limits_the_retries_of_all_nodes_in_every_window)
{
    std::vector<service_retry_budget> budgets(
        nodes, service_retry_budget({retry_share, burst, seconds(10)}));
    std::mt19937 random(1);
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    auto const begin = time_point(seconds(100));
    // every request attempts a retry, while the load rises and falls
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
            retries.push_back(now);
        }
    }
    ASSERT_GT(retries.size(), 50U);
    auto const in_window =
        [](std::vector<time_point> const & all, time_point window_start)
    {
        std::size_t count = 0;
        for (auto const event_time : all)
        {
            count += event_time >= window_start &&
                             event_time < window_start + seconds(10)
                         ? 1
                         : 0;
        }
        return static_cast<double>(count);
    };
    for (auto window_start = begin; window_start < begin + seconds(50);
         window_start += milliseconds(250))
    {
        EXPECT_LE(in_window(retries, window_start),
                  retry_share * in_window(requests, window_start) + burst);
    }
}

TEST(service_retry_budget, spent_retries_become_available_after_the_window)
{
    service_retry_budget budget({retry_share, burst, seconds(10)});
    auto now = time_point(seconds(100));
    int retries = 0;
    while (budget.try_spend(now, 1))
    {
        ++retries;
    }
    EXPECT_GT(retries, 10);
    EXPECT_FALSE(budget.try_spend(now + seconds(9), 1));
    EXPECT_TRUE(budget.try_spend(now + seconds(12), 1));
}

} // namespace
} // namespace endivehinge
