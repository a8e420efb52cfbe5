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

target_candidate make_candidate(char const * name, target_load const & load)
{
    target_candidate result;
    result.id = target_id(name);
    result.load = load;
    result.same_domain = true;
    return result;
}

target_load make_load(std::uint32_t running, double slowdown = 1)
{
    target_load load;
    load.running = running;
    load.limit = 10;
    load.slowdown = slowdown;
    return load;
}

TEST(target_selector, avoids_a_slow_target)
{
    target_selector const selector;
    auto const best = selector.choose({make_candidate("slow", make_load(0, 5)),
                                       make_candidate("fast", make_load(6, 1))},
                                      request,
                                      no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, ignores_an_outdated_slowdown)
{
    target_selector const selector;
    auto slow = make_candidate("slow", make_load(0, 5));
    auto normal = make_candidate("normal", make_load(0, 1));
    EXPECT_GT(selector.cost(slow, request),
              selector.cost(normal, request) + 0.1);
    slow.load_age = std::chrono::seconds(2);
    normal.load_age = std::chrono::seconds(2);
    EXPECT_NEAR(
        selector.cost(slow, request), selector.cost(normal, request), 1e-6);
}

// Targets that are slow for 125 ms of every 500 ms decline requests then. A
// target that may have become slow since its last report costs a hop, not the
// time of a slow run, so it is tried before one of another failure domain.
TEST(target_selector, tries_the_own_domain_although_its_report_is_old)
{
    target_selector const selector;
    auto own = make_candidate("own", make_load(4));
    own.load_age = milliseconds(400);
    auto remote = make_candidate("remote", make_load(4));
    remote.same_domain = false;
    EXPECT_EQ(selector.choose({own, remote}, request, no_jitter), 0U);
    own.load = make_load(4, 7);
    own.load_age = milliseconds(20);
    EXPECT_EQ(selector.choose({own, remote}, request, no_jitter), 1U)
        << "known to be slow";
}

TEST(target_selector, counts_requests_sent_since_the_load_report)
{
    target_selector const selector;
    auto busy = make_candidate("busy", make_load(2));
    busy.sent_since = 12;
    auto const best = selector.choose(
        {busy, make_candidate("other", make_load(5))}, request, no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, prefers_a_target_in_the_same_domain_until_it_queues)
{
    target_selector const selector;
    for (std::uint32_t const running : {0U, 5U, 30U})
    {
        auto same_domain_target =
            make_candidate("same_domain", make_load(running));
        auto other_domain_target = make_candidate("other_domain", make_load(0));
        other_domain_target.same_domain = false;
        auto const best = selector.choose(
            {same_domain_target, other_domain_target}, request, no_jitter);
        EXPECT_EQ(best, running < 30 ? 0U : 1U) << running;
    }
}

TEST(target_selector, avoids_a_target_that_fails_requests)
{
    target_selector const selector;
    auto failing = make_candidate("failing", make_load(0));
    failing.load->failure_share = 0.4;
    auto const best = selector.choose(
        {failing, make_candidate("other", make_load(8))}, request, no_jitter);
    EXPECT_EQ(best, 1U);
}

TEST(target_selector, selects_nothing_if_all_targets_are_closed)
{
    target_selector const selector;
    auto closed = make_candidate("closed", make_load(0));
    closed.load->closed = true;
    EXPECT_EQ(selector.choose({closed}, request, no_jitter), std::nullopt);
}

// A node that restarts says that its target is closed, and after its return
// nobody sends it a request that would show that the target is open.
TEST(target_selector, a_report_that_a_target_is_closed_expires)
{
    target_selector const selector;
    auto load = make_load(0);
    load.closed = true;
    auto closed = make_candidate("closed", load);
    auto const busy = make_candidate("busy", make_load(12, 2));
    EXPECT_EQ(selector.choose({closed, busy}, request, no_jitter), 1U);
    closed.load_age = std::chrono::seconds(2);
    EXPECT_EQ(selector.choose({closed, busy}, request, no_jitter), 0U);
}

} // namespace
} // namespace endivehinge
