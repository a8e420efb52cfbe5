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
constexpr milliseconds run_time(10);

ticket_info make_ticket(std::uint64_t id,
                        milliseconds time_left = milliseconds(250),
                        priority urgency = priority::interactive,
                        time_point now = start)
{
    return {ticket_id(id), urgency, now + time_left};
}

// a target that answers everything after the same time
class warm_target
{
public:
    explicit warm_target(std::uint32_t slots, admission_options options = {})
        : controller(options)
    {
        this->controller.announce({announced_phase::ready, slots, 1});
    }

    // offers as much as is admitted, and ends it after the latency
    void run_round(duration latency)
    {
        std::vector<ticket_id> admitted;
        while (true)
        {
            auto const offered = make_ticket(
                ++this->next, milliseconds(5000), priority::batch, this->now);
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
        this->largest = std::max(this->largest, admitted.size());
    }

    void warm_up()
    {
        for (int round = 0; round < 20; ++round)
        {
            this->run_round(run_time);
        }
    }

    // takes every place
    void fill(std::uint64_t first_id)
    {
        for (std::uint32_t taken = 0; taken < this->controller.limit(); ++taken)
        {
            auto const decision = this->controller.offer(
                make_ticket(first_id + taken, milliseconds(250), {}, this->now),
                this->now);
            ASSERT_EQ(decision.verdict, admission_verdict::admitted);
        }
    }

    admission_controller controller;
    time_point now = start;
    std::uint64_t next = 1000000;
    std::size_t largest = 0;
};

struct phase_case
{
    announced_phase phase;
    admission_verdict verdict;
    failure_id reason;
};

TEST(admission, each_phase_has_its_answer)
{
    for (auto const & row : std::vector<phase_case>{
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
        controller.announce({row.phase, 10, 1});
        auto const decision = controller.offer(make_ticket(1), start);
        EXPECT_EQ(decision.verdict, row.verdict);
        EXPECT_EQ(decision.reason, row.reason);
    }
}

TEST(admission, grows_from_a_small_limit_to_the_slots_and_no_further)
{
    warm_target target(20);
    EXPECT_LE(target.controller.limit(), 2U);
    target.warm_up();
    EXPECT_EQ(target.controller.limit(), 20U);
    EXPECT_EQ(target.largest, 20U);
}

TEST(admission, an_announced_cold_target_grows_by_one_a_window)
{
    warm_target target(20);
    target.controller.announce({announced_phase::cold, 20, 1});
    auto before = target.controller.limit();
    EXPECT_LE(before, 2U);
    for (int round = 0; round < 10; ++round)
    {
        target.run_round(run_time);
        EXPECT_LE(target.controller.limit(), before + 1);
        before = target.controller.limit();
    }
}

TEST(admission, late_answers_do_not_let_a_cold_target_grow)
{
    warm_target target(20);
    for (int round = 0; round < 30; ++round)
    {
        target.run_round(std::chrono::seconds(6));
    }
    EXPECT_LE(target.controller.limit(), 2U);
}

TEST(admission, a_new_run_and_a_sudden_fall_of_speed_start_small_again)
{
    warm_target new_run(20);
    new_run.warm_up();
    new_run.controller.announce({announced_phase::ready, 20, 2});
    EXPECT_LE(new_run.controller.limit(), 2U);

    warm_target fallen(20);
    fallen.warm_up();
    fallen.run_round(run_time * 10);
    EXPECT_LE(fallen.controller.limit(), 2U);
}

TEST(admission, slowness_short_of_a_sudden_fall_costs_no_places)
{
    warm_target target(20);
    target.warm_up();
    for (int round = 0; round < 20; ++round)
    {
        target.run_round(run_time * 3);
    }
    EXPECT_EQ(target.controller.limit(), 20U);
}

TEST(admission, sheds_lower_the_limit_until_answers_come_again)
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

TEST(admission, failures_never_take_the_last_place)
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

TEST(admission, what_would_be_late_is_refused_at_once)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);
    auto const near = target.controller.offer(
        make_ticket(50, milliseconds(5), {}, target.now), target.now);
    EXPECT_EQ(near.reason, failure_id::deadline_too_near);
    auto const tight = target.controller.offer(
        make_ticket(51, run_time, {}, target.now), target.now);
    EXPECT_EQ(tight.verdict, admission_verdict::refused);
    EXPECT_EQ(tight.reason, failure_id::overloaded);
    EXPECT_GT(tight.retry_after, duration(0));
}

TEST(admission, an_idle_target_takes_what_the_estimate_would_refuse)
{
    warm_target target(10);
    target.warm_up();
    auto const decision = target.controller.offer(
        make_ticket(1, milliseconds(2), {}, target.now), target.now);
    EXPECT_EQ(decision.verdict, admission_verdict::admitted);
}

TEST(admission, a_full_queue_refuses_with_its_drain_time)
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
    EXPECT_EQ(decision.retry_after, run_time * (queued + 1) / 10);
}

TEST(admission, the_queue_runs_by_priority_and_then_deadline)
{
    warm_target target(10);
    target.warm_up();
    target.fill(1);

    struct row
    {
        std::uint64_t id;
        int time_left_ms;
        priority urgency;
    };

    for (auto const & [id, time_left_ms, urgency] : std::vector<row>{
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

TEST(admission, an_internal_check_pushes_out_the_least_urgent)
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

TEST(admission, an_internal_check_has_a_place_above_a_small_limit)
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

TEST(admission, a_leaving_target_gives_its_queue_back)
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

TEST(admission, a_queued_ticket_past_its_deadline_is_refused)
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

TEST(admission, a_stalled_run_shows_in_the_load)
{
    warm_target target(10);
    target.warm_up();
    EXPECT_EQ(target.controller.load(target.now).latency, run_time);
    target.fill(1);
    auto const later = target.now + run_time * 9;
    EXPECT_EQ(target.controller.load(later).latency, run_time * 9);
    EXPECT_EQ(target.controller.load(later).in_flight, 10);
}

} // namespace
} // namespace endivehinge
