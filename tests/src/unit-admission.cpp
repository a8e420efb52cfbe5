#include <gtest/gtest.h>

#include <algorithm> // max
#include <cstdint>   // uint64_t
#include <vector>    // vector

#include <endivehinge/policy/admission_controller.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

time_point const start(std::chrono::seconds(100));
constexpr milliseconds service_time(10);

ticket_info make_ticket(std::uint64_t id,
                        milliseconds time_left = milliseconds(250),
                        priority urgency = priority::interactive,
                        time_point now = start)
{
    return {ticket_id(id), urgency, now + time_left};
}

// target in the ready phase whose requests all take the same time
class warm_target
{
public:
    explicit warm_target(std::uint32_t slots, admission_options options = {})
        : controller(options)
    {
        this->controller.announce({announced_phase::ready, slots, 1});
    }

    // offers requests until one is not admitted, then completes them after
    // the latency
    void run_round(duration latency)
    {
        std::vector<ticket_id> admitted;
        while (true)
        {
            auto const offered = make_ticket(++this->next_id,
                                             milliseconds(5000),
                                             priority::batch,
                                             this->now);
            auto const decision = this->controller.offer(offered, this->now);
            if (decision.verdict != admission_verdict::admitted)
            {
                this->controller.cancel(offered.id);
                break;
            }
            admitted.push_back(offered.id);
        }
        this->now += latency;
        for (auto const id : admitted)
        {
            this->controller.finish(id, execution_result::succeeded, this->now);
        }
        this->max_admitted = std::max(this->max_admitted, admitted.size());
    }

    void warm_up()
    {
        for (int round = 0; round < 20; ++round)
        {
            this->run_round(service_time);
        }
    }

    // admits requests until the limit is reached
    void fill(std::uint64_t first_id)
    {
        for (std::uint32_t admitted_count = 0;
             admitted_count < this->controller.limit();
             ++admitted_count)
        {
            auto const decision =
                this->controller.offer(make_ticket(first_id + admitted_count,
                                                   milliseconds(250),
                                                   {},
                                                   this->now),
                                       this->now);
            ASSERT_EQ(decision.verdict, admission_verdict::admitted);
        }
    }

    admission_controller controller;
    time_point now = start;
    std::uint64_t next_id = 1000000;
    std::size_t max_admitted = 0;
};

struct phase_case
{
    announced_phase phase;
    admission_verdict verdict;
    failure_id reason;
};

TEST(admission, verdict_depends_on_announced_phase)
{
    for (auto const & test_case : std::vector<phase_case>{
             {announced_phase::absent,
              admission_verdict::refused,
              failure_id::no_target},
             {announced_phase::cold,
              admission_verdict::admitted,
              failure_id::none},
             {announced_phase::ready,
              admission_verdict::admitted,
              failure_id::none},
             {announced_phase::draining,
              admission_verdict::refused,
              failure_id::draining},
         })
    {
        admission_controller controller;
        controller.announce({test_case.phase, 10, 1});
        auto const decision = controller.offer(make_ticket(1), start);
        EXPECT_EQ(decision.verdict, test_case.verdict);
        EXPECT_EQ(decision.reason, test_case.reason);
    }
}

TEST(admission, limit_grows_from_slow_start_to_slots)
{
    warm_target target(20);
    EXPECT_LE(target.controller.limit(), 2U);
    target.warm_up();
    EXPECT_EQ(target.controller.limit(), 20U);
    EXPECT_EQ(target.max_admitted, 20U);
}

TEST(admission, limit_of_cold_target_grows_by_one_per_window)
{
    warm_target target(20);
    target.controller.announce({announced_phase::cold, 20, 1});
    auto before = target.controller.limit();
    EXPECT_LE(before, 2U);
    for (int round = 0; round < 10; ++round)
    {
        target.run_round(service_time);
        EXPECT_LE(target.controller.limit(), before + 1);
        before = target.controller.limit();
    }
}

TEST(admission, limit_does_not_grow_when_responses_miss_deadlines)
{
    warm_target target(20);
    for (int round = 0; round < 30; ++round)
    {
        target.run_round(std::chrono::seconds(6));
    }
    EXPECT_LE(target.controller.limit(), 2U);
}

TEST(admission, restart_or_sharp_slowdown_enters_slow_start)
{
    warm_target restarted(20);
    restarted.warm_up();
    restarted.controller.announce({announced_phase::ready, 20, 2});
    EXPECT_LE(restarted.controller.limit(), 2U);

    warm_target slowed(20);
    slowed.warm_up();
    slowed.run_round(service_time * 10);
    EXPECT_LE(slowed.controller.limit(), 2U);
}

TEST(admission, moderate_slowdown_keeps_limit)
{
    warm_target target(20);
    target.warm_up();
    for (int round = 0; round < 20; ++round)
    {
        target.run_round(service_time * 3);
    }
    EXPECT_EQ(target.controller.limit(), 20U);
}

TEST(admission, load_shedding_lowers_limit_until_responses_succeed)
{
    warm_target target(20);
    target.warm_up();
    for (std::uint64_t id = 1; id <= 5; ++id)
    {
        ASSERT_EQ(target.controller
                      .offer(make_ticket(id, milliseconds(250), {}, target.now),
                             target.now)
                      .verdict,
                  admission_verdict::admitted);
        target.controller.finish(
            ticket_id(id), execution_result::shed, target.now);
    }
    EXPECT_LT(target.controller.limit(), 10U);
    target.warm_up();
    EXPECT_EQ(target.controller.limit(), 20U);
}

TEST(admission, limit_stays_at_least_one_after_failures)
{
    for (auto const result : {execution_result::failed, execution_result::shed})
    {
        warm_target target(20);
        for (std::uint64_t id = 1; id < 200; ++id)
        {
            auto const decision =
                target.controller.offer(make_ticket(id), start);
            ASSERT_EQ(decision.verdict, admission_verdict::admitted);
            target.controller.finish(ticket_id(id), result, start);
        }
        EXPECT_EQ(target.controller.limit(), 1U);
    }
}

TEST(admission, request_expected_to_miss_deadline_is_refused)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);
    auto const near_deadline = target.controller.offer(
        make_ticket(50, milliseconds(5), {}, target.now), target.now);
    EXPECT_EQ(near_deadline.reason, failure_id::deadline_too_near);
    auto const full_target = target.controller.offer(
        make_ticket(51, service_time, {}, target.now), target.now);
    EXPECT_EQ(full_target.verdict, admission_verdict::refused);
    EXPECT_EQ(full_target.reason, failure_id::overloaded);
    EXPECT_GT(full_target.retry_after, duration(0));
}

TEST(admission, idle_target_admits_request_expected_to_be_late)
{
    warm_target target(10);
    target.warm_up();
    auto const decision = target.controller.offer(
        make_ticket(1, milliseconds(2), {}, target.now), target.now);
    EXPECT_EQ(decision.verdict, admission_verdict::admitted);
}

TEST(admission, full_queue_refuses_with_expected_wait_as_retry_after)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);
    std::uint64_t id = 100;
    admission_decision decision;
    do
    {
        decision = target.controller.offer(
            make_ticket(++id, milliseconds(250), {}, target.now), target.now);
    } while (decision.verdict == admission_verdict::queued);
    auto const queued = target.controller.queued_count();
    EXPECT_GE(queued, 4U);
    EXPECT_EQ(decision.reason, failure_id::overloaded);
    EXPECT_EQ(decision.retry_after, service_time * (queued + 1) / 10);
}

TEST(admission, queue_is_ordered_by_priority_then_deadline)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);

    struct test_case
    {
        std::uint64_t id;
        int time_left_ms;
        priority urgency;
    };

    for (auto const & [id, time_left_ms, urgency] : std::vector<test_case>{
             {101, 200, priority::batch},
             {102, 220, priority::interactive},
             {103, 210, priority::interactive},
             {104, 250, priority::internal_check},
         })
    {
        ASSERT_EQ(
            target.controller
                .offer(make_ticket(
                           id, milliseconds(time_left_ms), urgency, target.now),
                       target.now)
                .verdict,
            admission_verdict::queued);
    }
    std::vector<std::uint64_t> order;
    for (std::uint64_t id = 1; id <= 4; ++id)
    {
        target.controller.finish(
            ticket_id(id), execution_result::succeeded, target.now);
        for (auto const & ready : target.controller.take_ready(target.now))
        {
            EXPECT_EQ(ready.decision.verdict, admission_verdict::admitted);
            order.push_back(ready.id.value());
        }
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{104, 103, 102, 101}));
}

TEST(admission, internal_check_evicts_least_urgent_ticket_from_full_queue)
{
    admission_options options;
    options.max_queue_size = 5;
    warm_target target(10, options);
    target.warm_up();
    target.fill(1);
    std::uint64_t id = 100;
    while (target.controller
               .offer(make_ticket(
                          ++id, milliseconds(250), priority::batch, target.now),
                      target.now)
               .verdict == admission_verdict::queued)
    {
    }
    EXPECT_EQ(target.controller
                  .offer(make_ticket(900,
                                     milliseconds(250),
                                     priority::internal_check,
                                     target.now),
                         target.now)
                  .verdict,
              admission_verdict::queued);
    auto const ready = target.controller.take_ready(target.now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].decision.reason, failure_id::overloaded);
    EXPECT_EQ(ready[0].id, ticket_id(id - 1));
}

TEST(admission, internal_check_is_admitted_above_limit)
{
    admission_controller controller;
    controller.announce({announced_phase::cold, 10, 1});
    ASSERT_EQ(controller.limit(), 1U);
    EXPECT_EQ(controller.offer(make_ticket(1), start).verdict,
              admission_verdict::admitted);
    auto const check =
        make_ticket(2, milliseconds(250), priority::internal_check);
    EXPECT_EQ(controller.offer(check, start).verdict,
              admission_verdict::admitted);
}

TEST(admission, draining_target_refuses_queued_tickets)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);
    ASSERT_EQ(target.controller
                  .offer(make_ticket(100, milliseconds(250), {}, target.now),
                         target.now)
                  .verdict,
              admission_verdict::queued);
    target.controller.announce({announced_phase::draining, 10, 1});
    auto const ready = target.controller.take_ready(target.now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].decision.reason, failure_id::draining);
    EXPECT_EQ(target.controller.running_count(), 10U);
}

TEST(admission, queued_ticket_is_refused_after_its_deadline)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);
    ASSERT_EQ(target.controller
                  .offer(make_ticket(100, milliseconds(50), {}, target.now),
                         target.now)
                  .verdict,
              admission_verdict::queued);
    auto const ready =
        target.controller.take_ready(target.now + milliseconds(50));
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].decision.reason, failure_id::deadline_too_near);
}

TEST(admission, stalled_requests_raise_reported_latency)
{
    warm_target target(10);
    target.warm_up();
    EXPECT_EQ(target.controller.load(target.now).latency, service_time);
    target.fill(1);
    auto const later = target.now + service_time * 9;
    EXPECT_EQ(target.controller.load(later).latency, service_time * 9);
    EXPECT_EQ(target.controller.load(later).in_flight, 10);
}

} // namespace
} // namespace endivehinge
