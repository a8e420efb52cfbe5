#include <gtest/gtest.h>

#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <set>     // set

#include <endivehinge/policy/admission_controller.hpp>

namespace endivehinge
{
namespace
{

class admission_property : public testing::TestWithParam<std::uint64_t>
{
};

// whatever happens: never above the slots, every ticket ends once, and one
// request can always go on
TEST_P(admission_property, holds_its_bounds_and_ends_every_ticket_once)
{
    constexpr std::uint32_t slots = 8;
    std::mt19937_64 random(GetParam());
    admission_controller controller;
    controller.announce({announced_phase::ready, slots, 1});
    time_point now{};
    std::set<std::uint64_t> queued;
    std::set<std::uint64_t> running;
    std::uint64_t next = 0;
    for (int step = 0; step < 20000; ++step)
    {
        now += std::chrono::microseconds(random() % 2000);
        if (random() % 2 == 0)
        {
            ticket_info const ticket{
                ticket_id(++next),
                priority(random() % 3),
                now + std::chrono::milliseconds(random() % 300)};
            bool const idle = running.empty() && queued.empty();
            auto const decision = controller.offer(ticket, now);
            if (decision.verdict == admission_verdict::admitted)
            {
                running.insert(next);
            }
            if (decision.verdict == admission_verdict::queued)
            {
                queued.insert(next);
            }
            ASSERT_TRUE(!idle || ticket.deadline <= now ||
                        decision.verdict == admission_verdict::admitted);
        }
        else if (!running.empty())
        {
            auto const id = *running.begin();
            running.erase(id);
            if (random() % 20 == 0)
            {
                controller.cancel(ticket_id(id));
            }
            else
            {
                controller.finish(
                    ticket_id(id), execution_result(random() % 4), now);
            }
        }
        for (auto const & ready : controller.take_ready(now))
        {
            ASSERT_EQ(queued.erase(ready.id.value()), 1U);
            if (ready.decision.verdict == admission_verdict::admitted)
            {
                running.insert(ready.id.value());
            }
        }
        ASSERT_LE(running.size(), slots);
        ASSERT_EQ(running.size(), controller.running_count());
        ASSERT_EQ(queued.size(), controller.queued_count());
        ASSERT_GE(controller.limit(), 1U);
        ASSERT_TRUE(queued.empty() || !running.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         admission_property,
                         testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace endivehinge
