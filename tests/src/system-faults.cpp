#include <functional> // function
#include <iostream>   // cout
#include <ostream>    // ostream
#include <tuple>      // tuple

#include <gtest/gtest.h>

#include "fault_run.hpp"

namespace endivehinge
{
namespace
{

using nlohmann::json;
using tests::fault_run;

// longer than a pause that a lease bears
constexpr absl::Duration long_pause = absl::Seconds(5);
constexpr absl::Duration short_pause = absl::Milliseconds(700);
constexpr std::uint64_t calls_before = 150;
constexpr std::uint64_t calls_during = 200;
constexpr std::uint64_t calls_after = 150;
constexpr std::uint64_t seeds[] = {1};

struct fault_case
{
    char const * name;
    std::function<void(fault_run &)> act;
};

std::ostream & operator<<(std::ostream & out, fault_case const & one)
{
    return out << one.name;
}

void stop_for(fault_run & run,
              tools::child_process & process,
              absl::Duration pause)
{
    process.signal(SIGSTOP);
    absl::SleepFor(pause);
    process.signal(SIGCONT);
    EXPECT_TRUE(run.let_end(calls_during));
}

void kill_node(fault_run & run, std::size_t index)
{
    run.instance(index).node->signal(SIGKILL);
    run.forget_node(index);
}

void platform_is(fault_run & run, json const & fields)
{
    EXPECT_TRUE(run.control(run.platform(), fields));
    EXPECT_TRUE(run.let_end(calls_during));
}

void link_is(fault_run & run, json const & fields)
{
    EXPECT_TRUE(
        run.control(*run.instance(fault_run::first_booking).relay, fields));
    EXPECT_TRUE(run.let_end(calls_during));
}

std::vector<fault_case> const cases = {
    {"no_fault",
     [](fault_run & run)
     {
         EXPECT_TRUE(run.let_end(calls_during));
     }},
    {"target_killed",
     [](fault_run & run)
     {
         run.instance(fault_run::first_booking).target->signal(SIGKILL);
     }},
    {"node_killed",
     [](fault_run & run)
     {
         kill_node(run, fault_run::first_booking);
     }},
    {"node_and_target_killed",
     [](fault_run & run)
     {
         run.instance(fault_run::first_booking).target->signal(SIGKILL);
         kill_node(run, fault_run::first_booking);
     }},
    {"node_of_another_service_killed",
     [](fault_run & run)
     {
         kill_node(run, fault_run::first_listings);
     }},
    {"target_paused",
     [](fault_run & run)
     {
         stop_for(
             run, *run.instance(fault_run::second_booking).target, short_pause);
     }},
    {"target_paused_long",
     [](fault_run & run)
     {
         stop_for(
             run, *run.instance(fault_run::second_booking).target, long_pause);
     }},
    {"node_paused",
     [](fault_run & run)
     {
         run.excuse_node(fault_run::first_booking);
         stop_for(
             run, *run.instance(fault_run::first_booking).node, short_pause);
     }},
    {"node_paused_past_its_lease",
     [](fault_run & run)
     {
         run.excuse_node(fault_run::first_booking);
         stop_for(
             run, *run.instance(fault_run::first_booking).node, long_pause);
     }},
    {"target_stopped_gracefully",
     [](fault_run & run)
     {
         run.instance(fault_run::first_booking).target->signal(SIGTERM);
     }},
    {"node_stopped_gracefully",
     [](fault_run & run)
     {
         run.instance(fault_run::first_booking).node->signal(SIGTERM);
         run.forget_node(fault_run::first_booking);
         EXPECT_EQ(run.instance(fault_run::first_booking)
                       .node->wait(absl::Seconds(40)),
                   0);
     }},
    {"target_frozen",
     [](fault_run & run)
     {
         auto & target = *run.instance(fault_run::second_booking).target;
         EXPECT_TRUE(run.control(target, {{"frozen", 1}}));
         absl::SleepFor(short_pause);
         EXPECT_TRUE(run.control(target, {{"frozen", 0}}));
     }},
    {"target_straggles",
     [](fault_run & run)
     {
         EXPECT_TRUE(
             run.control(*run.instance(fault_run::second_booking).target,
                         {{"straggle_factor", 50}}));
         EXPECT_TRUE(run.let_end(calls_during));
     }},
    {"target_sheds",
     [](fault_run & run)
     {
         EXPECT_TRUE(
             run.control(*run.instance(fault_run::second_booking).target,
                         {{"slots", 1}, {"queue", 0}}));
         EXPECT_TRUE(run.let_end(calls_during));
     }},
    {"open_connections_to_a_target_silent",
     [](fault_run & run)
     {
         link_is(run, {{"silence_open_connections", 1}});
     }},
    {"link_to_a_target_silent",
     [](fault_run & run)
     {
         link_is(run, {{"link", "silent"}});
     }},
    {"link_to_a_target_cut",
     [](fault_run & run)
     {
         link_is(run, {{"link", "cut"}});
         link_is(run, {{"link", "pass"}});
     }},
    {"platform_refuses",
     [](fault_run & run)
     {
         platform_is(run, {{"outage", "refuse"}});
     }},
    {"platform_hangs",
     [](fault_run & run)
     {
         platform_is(run, {{"outage", "hang"}});
     }},
    {"platform_loses_answers_of_writes",
     [](fault_run & run)
     {
         platform_is(run, {{"lost_write_answers", 20}});
     }},
    {"platform_tells_old_data",
     [](fault_run & run)
     {
         platform_is(run, {{"stale_versions", 5}});
     }},
    {"platform_out_and_node_killed",
     [](fault_run & run)
     {
         platform_is(run, {{"outage", "refuse"}});
         kill_node(run, fault_run::second_booking);
     }},
    {"platform_out_and_node_paused_past_its_lease",
     [](fault_run & run)
     {
         platform_is(run, {{"outage", "hang"}});
         run.excuse_node(fault_run::second_booking);
         stop_for(
             run, *run.instance(fault_run::second_booking).node, long_pause);
     }},
    {"node_killed_and_another_paused",
     [](fault_run & run)
     {
         kill_node(run, fault_run::first_booking);
         run.excuse_node(fault_run::second_booking);
         stop_for(
             run, *run.instance(fault_run::second_booking).node, long_pause);
     }},
    {"open_connections_silent_and_another_target_killed",
     [](fault_run & run)
     {
         link_is(run, {{"silence_open_connections", 1}});
         run.instance(fault_run::second_booking).target->signal(SIGKILL);
     }},
};

class fault_history
    : public ::testing::TestWithParam<std::tuple<fault_case, std::uint64_t>>
{
};

TEST_P(fault_history, keeps_every_promise)
{
    auto const & [fault, seed] = this->GetParam();
    fault_run run(ENDIVEHINGE_BINARY_DIRECTORY);
    failure reason;
    ASSERT_TRUE(run.start(seed, reason)) << reason.describe();
    ASSERT_TRUE(run.let_end(calls_before));
    fault.act(run);
    EXPECT_TRUE(run.let_end(calls_after));
    auto const verdict = run.finish();
    for (auto const & broken : verdict.violations)
    {
        ADD_FAILURE() << tools::to_string(broken.kind) << " " << broken.call
                      << ": " << broken.detail;
    }
    // one fault or two leave most of the service
    EXPECT_GT(2 * verdict.answered, verdict.sent);
    std::cout << "sent=" << verdict.sent << " answered=" << verdict.answered
              << " refused=" << verdict.refused
              << " unknown=" << verdict.unknown << std::endl;
}

INSTANTIATE_TEST_SUITE_P(faults,
                         fault_history,
                         ::testing::Combine(::testing::ValuesIn(cases),
                                            ::testing::ValuesIn(seeds)),
                         [](auto const & one)
                         {
                             return std::string(std::get<0>(one.param).name);
                         });

} // namespace
} // namespace endivehinge
