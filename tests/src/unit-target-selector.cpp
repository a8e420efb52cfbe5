#include <gtest/gtest.h>

#include <endivehinge/policy/target_selector.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

placement_request const request{milliseconds(160), milliseconds(500)};

double no_jitter()
{
    return 0;
}

target_candidate candidate(char const * name, target_load const & load)
{
    target_candidate made;
    made.id = target_id(name);
    made.load = load;
    made.same_domain = true;
    return made;
}

target_load loaded(std::uint32_t running, double slowdown = 1)
{
    target_load load;
    load.running = running;
    load.limit = 10;
    load.slowdown = slowdown;
    return load;
}

TEST(target_selector, avoids_a_target_that_is_slow_now)
{
    target_selector const selector;
    auto const best = selector.choose(
        {candidate("slow", loaded(0, 5)), candidate("fast", loaded(6, 1))},
        request,
        no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, an_old_slowdown_is_forgotten)
{
    target_selector const selector;
    auto slow = candidate("slow", loaded(0, 5));
    auto const fresh = selector.cost(slow, request);
    slow.load_age = std::chrono::seconds(2);
    EXPECT_LT(selector.cost(slow, request), fresh / 2);
}

TEST(target_selector, adds_its_own_sends_since_the_load_was_heard)
{
    target_selector const selector;
    auto busy = candidate("busy", loaded(2));
    busy.sent_since = 12;
    auto const best = selector.choose(
        {busy, candidate("other", loaded(5))}, request, no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, a_near_target_is_preferred_until_it_queues)
{
    target_selector const selector;
    for (std::uint32_t const running : {0U, 5U, 30U})
    {
        auto near = candidate("near", loaded(running));
        auto far = candidate("far", loaded(0));
        far.same_domain = false;
        auto const best = selector.choose({near, far}, request, no_jitter);
        EXPECT_EQ(best, running < 30 ? 0U : 1U) << running;
    }
}

TEST(target_selector, avoids_a_target_that_fails_its_requests)
{
    target_selector const selector;
    auto failing = candidate("failing", loaded(0));
    failing.load->failure_share = 0.4;
    auto const best = selector.choose(
        {failing, candidate("other", loaded(8))}, request, no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, chooses_nothing_where_all_are_closed)
{
    target_selector const selector;
    auto closed = candidate("closed", loaded(0));
    closed.load->closed = true;
    EXPECT_EQ(selector.choose({closed}, request, no_jitter), std::nullopt);
}

} // namespace
} // namespace endivehinge
