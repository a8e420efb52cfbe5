#include <gtest/gtest.h>

#include <endivehinge/policy/rollout_coordinator.hpp>
#include <endivehinge/policy/rollout_election.hpp>
#include <endivehinge/policy/rollout_exposure_ledger.hpp>
#include <endivehinge/policy/rollout_gate.hpp>
#include <endivehinge/policy/rollout_schedule.hpp>
#include <endivehinge/policy/rollout_trial_targets.hpp>
#include <endivehinge/policy/rollout_version_filter.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

software_version const v1("v1");
software_version const v2("v2");
software_version const v3("v3");
time_point const start{seconds(100)};

rollout_entry make_entry(rollout_state state,
                         rollout_stage stage = rollout_stage::trial,
                         double share = 0)
{
    rollout_entry entry;
    entry.order = {service_name("s"), v2, seconds(12)};
    entry.version = object_version(2);
    if (state != rollout_state::none)
    {
        entry.status.emplace();
        entry.status->state = state;
        entry.status->target_version = v2;
        entry.status->coordinator = node_name("c");
        entry.status->term = 1;
        entry.status->first_term = 1;
        entry.status->stage = stage;
        entry.status->share = share;
    }
    return entry;
}

rollout_instruction make_grant(std::uint64_t term, std::uint64_t sequence)
{
    rollout_instruction given;
    given.service = service_name("s");
    given.target_version = v2;
    given.term = term;
    given.sequence = sequence;
    given.holder = incarnation(7);
    given.max_accepted = 2;
    given.max_failures = 1;
    given.expires_at = seconds(10);
    return given;
}

rollout_gate make_gate(software_version const & version)
{
    rollout_gate gate(incarnation(7));
    gate.set_version(version);
    gate.set_allowed(version == v1, false);
    gate.set_entry(make_entry(rollout_state::none));
    return gate;
}

// each expectation guards against a request that no order allows
TEST(rollout_gate, new_target_accepts_only_within_its_grant)
{
    auto gate = make_gate(v2);
    EXPECT_FALSE(gate.accepts(seconds(1)));
    ASSERT_TRUE(gate.apply(make_grant(1, 2)));
    EXPECT_TRUE(gate.accepts(seconds(1)));
    EXPECT_FALSE(gate.accepts(seconds(10)));
    gate.record_accepted();
    gate.record_accepted();
    EXPECT_FALSE(gate.accepts(seconds(1)));

    auto failing = make_gate(v2);
    failing.apply(make_grant(1, 2));
    failing.record_failure();
    EXPECT_FALSE(failing.accepts(seconds(1)));

    rollout_gate restarted(incarnation(8));
    restarted.set_version(v2);
    restarted.set_entry(make_entry(rollout_state::running));
    restarted.apply(make_grant(1, 2));
    EXPECT_FALSE(restarted.accepts(seconds(1)));
}

TEST(rollout_gate, obeys_the_latest_instruction_of_the_highest_term)
{
    auto gate = make_gate(v2);
    auto withdrawal = make_grant(2, 5);
    withdrawal.withdrawn = true;
    ASSERT_TRUE(gate.apply(withdrawal));
    EXPECT_FALSE(gate.apply(make_grant(2, 4)));
    EXPECT_FALSE(gate.apply(make_grant(1, 9)));
    EXPECT_FALSE(gate.accepts(seconds(1)));
    auto entry = make_entry(rollout_state::running);
    entry.status->term = 4;
    gate.set_entry(entry);
    EXPECT_FALSE(gate.apply(make_grant(3, 9)));
}

TEST(rollout_gate, conclusions_are_final)
{
    for (auto const & [state, by_old, by_new] :
         {std::tuple(rollout_state::completed, false, true),
          std::tuple(rollout_state::rolled_back, true, false)})
    {
        auto old_gate = make_gate(v1);
        auto new_gate = make_gate(v2);
        for (auto * gate : {&old_gate, &new_gate})
        {
            gate->apply(make_grant(1, 1));
            gate->set_entry(make_entry(state));
            EXPECT_FALSE(gate->apply(make_grant(9, 9)));
        }
        EXPECT_EQ(old_gate.accepts(seconds(1)), by_old);
        EXPECT_EQ(new_gate.accepts(seconds(1)), by_new);
    }
}

// guards against an old target that reopens after it reported that it is closed
TEST(rollout_gate, old_target_closes_and_reopens_by_withdrawal_only)
{
    auto gate = make_gate(v1);
    EXPECT_TRUE(gate.accepts(seconds(1)));
    gate.set_entry(
        make_entry(rollout_state::running, rollout_stage::shifting, 1));
    EXPECT_FALSE(gate.accepts(seconds(1)));
    auto closing = make_grant(1, 3);
    closing.old_closed = true;
    gate.apply(closing);
    EXPECT_FALSE(gate.accepts(hours(1)));
    auto withdrawal = make_grant(1, 4);
    withdrawal.withdrawn = true;
    gate.apply(withdrawal);
    EXPECT_TRUE(gate.accepts(seconds(1)));

    rollout_gate restarted(incarnation(8));
    restarted.set_version(v1);
    restarted.set_allowed(true, false);
    restarted.set_entry(make_entry(rollout_state::running));
    EXPECT_FALSE(restarted.accepts(seconds(1)));
}

TEST(rollout_gate, order_that_changes_or_vanishes_ends_the_grants)
{
    auto gate = make_gate(v2);
    gate.apply(make_grant(1, 1));
    ASSERT_TRUE(gate.accepts(seconds(1)));
    auto other = make_entry(rollout_state::running);
    other.order.target_version = v3;
    other.version = object_version(3);
    gate.set_entry(other);
    EXPECT_FALSE(gate.apply(make_grant(2, 1)));
    EXPECT_FALSE(gate.accepts(seconds(1)));

    auto orphan = make_gate(v2);
    orphan.apply(make_grant(1, 1));
    orphan.set_entry(std::nullopt);
    EXPECT_FALSE(orphan.accepts(seconds(1)));
}

TEST(rollout_version_filter, holds_back_a_version_without_an_order)
{
    rollout_version_filter filter(milliseconds(2500));
    filter.set_targets({v1, v1, v1}, start);
    EXPECT_TRUE(filter.allows(std::nullopt, v1, start));
    filter.set_targets({v1, v1, v1, v2, v2, v2, v2}, start + seconds(1));
    EXPECT_TRUE(filter.allows(std::nullopt, v1, start + seconds(2)));
    EXPECT_FALSE(filter.allows(std::nullopt, v2, start + seconds(3)));
    EXPECT_TRUE(filter.allows(std::nullopt, v2, start + seconds(4)));
    // the order arrives late
    EXPECT_FALSE(
        filter.allows(make_entry(rollout_state::none), v2, start + seconds(4)));
}

TEST(rollout_version_filter, sends_by_state_and_share)
{
    using versions = std::vector<software_version>;
    rollout_version_filter filter(milliseconds(2500));
    filter.set_targets({v1, v1, v2, v2}, start);
    auto const now = start + seconds(5);
    auto const trial =
        make_entry(rollout_state::running, rollout_stage::trial, 0.25);
    EXPECT_EQ(filter.choose(trial, 0.2, now).first, versions{v2});
    EXPECT_EQ(filter.choose(trial, 0.2, now).fallback, versions{v1});
    EXPECT_EQ(filter.choose(trial, 0.3, now).first, versions{v1});
    EXPECT_TRUE(filter.choose(trial, 0.3, now).fallback.empty());
    auto const shifting =
        make_entry(rollout_state::running, rollout_stage::shifting, 0.5);
    EXPECT_EQ(filter.choose(shifting, 0.6, now).fallback, versions{v2});
    auto const completed = make_entry(rollout_state::completed);
    EXPECT_EQ(filter.choose(completed, 0.9, now).first, versions{v2});
    EXPECT_FALSE(filter.allows(completed, v1, now));
    EXPECT_FALSE(
        filter.allows(make_entry(rollout_state::rolled_back), v2, now));
}

// guards against a second order that lets the target of the first one in
TEST(rollout_version_filter, second_order_does_not_allow_the_first_target)
{
    auto entry = make_entry(rollout_state::running);
    entry.order.target_version = v3;
    rollout_version_filter filter(milliseconds(2500));
    filter.set_targets({v1, v1, v2, v3}, start);
    auto const now = start + seconds(9);
    EXPECT_FALSE(filter.allows(entry, v2, now));
    entry.status = make_takeover_status(entry, node_name("n"), 5);
    EXPECT_EQ(entry.status->term, 6U);
    EXPECT_EQ(entry.status->first_term, 6U);
    EXPECT_FALSE(filter.allows(entry, v2, now));
    EXPECT_TRUE(filter.allows(entry, v1, now));
    EXPECT_TRUE(filter.allows(entry, v3, now));
}

rollout_counts make_counts(std::string const & node,
                           software_version const & version,
                           std::uint64_t accepted,
                           std::uint64_t process = 1)
{
    rollout_counts counts;
    counts.node = node_name(node);
    counts.version = version;
    counts.process = incarnation(process);
    counts.cold = false;
    counts.routes["r"].arrivals = accepted;
    return counts;
}

// guards against a fresh share for each restart of a node, or for each term
TEST(rollout_exposure_ledger, restarts_and_terms_get_no_second_share)
{
    for (std::uint64_t const term : {0, 1})
    {
        rollout_exposure_ledger ledger(v2, {0.1, 50}, term);
        std::uint64_t old_accepted = 0;
        std::uint64_t granted = 0;
        auto now = start;
        for (std::uint64_t poll = 0; poll < 50; ++poll)
        {
            now += milliseconds(200);
            old_accepted += 20;
            ledger.record(make_counts("old", v1, old_accepted), now);
            // each process accepts its whole grant, and then restarts
            ledger.record(make_counts("new", v2, 0, poll + 1), now);
            ledger.advance(rollout_stage::trial, 0, true, now);
            granted += ledger.grant_for(node_name("new"))->max_accepted;
            EXPECT_LE(static_cast<double>(granted), ledger.allowed_in_trial());
        }
        // half of 0.1 of 980 reported arrivals, and a part of the slack
        EXPECT_NEAR(ledger.allowed_in_trial(), term == 0 ? 74 : 61.5, 1e-6);
        EXPECT_GT(granted, 40U);
    }
}

rollout_situation make_situation(seconds elapsed)
{
    rollout_situation current;
    current.order = {service_name("s"), v2, seconds(12)};
    current.elapsed = elapsed;
    current.new_targets = 2;
    current.judgement.verdict = rollout_verdict::good;
    current.judgement.all_routes_tried = true;
    return current;
}

TEST(rollout_schedule, moves_the_traffic_only_after_the_trial_time)
{
    EXPECT_EQ(next_rollout_step(make_situation(seconds(3))).action,
              rollout_action::hold);
    EXPECT_EQ(next_rollout_step(make_situation(seconds(5))).action,
              rollout_action::shift);
    EXPECT_EQ(next_rollout_step(make_situation(seconds(11))).action,
              rollout_action::roll_back);
    auto bad = make_situation(seconds(1));
    bad.judgement.verdict = rollout_verdict::bad;
    EXPECT_EQ(next_rollout_step(bad).action, rollout_action::roll_back);
    auto huge = make_situation(seconds(31));
    huge.order.length = duration::max();
    EXPECT_EQ(next_rollout_step(huge).action, rollout_action::shift);
    auto none = make_situation(seconds(0));
    none.order.length = -seconds(1);
    EXPECT_EQ(next_rollout_step(none).action, rollout_action::roll_back);
}

// guards against requests that are lost as old targets stop without draining
TEST(rollout_schedule, completes_once_old_targets_are_drained_or_silent)
{
    auto current = make_situation(seconds(9));
    current.stage = rollout_stage::shifting;
    current.share = 1;
    current.since_share = seconds(3);
    current.old_targets = {{true, 1, seconds(0)}, {false, 0, seconds(3)}};
    EXPECT_EQ(next_rollout_step(current).action, rollout_action::hold);
    current.old_targets[0].in_progress = 0;
    EXPECT_EQ(next_rollout_step(current).action, rollout_action::complete);
    current.old_targets[1].since_contact = seconds(2);
    EXPECT_EQ(next_rollout_step(current).action, rollout_action::hold);
}

// guards against a fault on a rare route that shows one or two failures at
// first
TEST(rollout_schedule, slight_doubt_delays_each_step)
{
    auto trial = make_situation(seconds(5));
    trial.judgement.least_probability = 0.22;
    EXPECT_EQ(next_rollout_step(trial).action, rollout_action::hold);
    auto full = make_situation(seconds(9));
    full.stage = rollout_stage::shifting;
    full.share = 1;
    full.since_share = seconds(3);
    EXPECT_EQ(next_rollout_step(full).action, rollout_action::complete);
    full.judgement.least_probability = 0.1;
    EXPECT_EQ(next_rollout_step(full).action, rollout_action::hold);
}

// a coordinator with two old and two new targets
struct coordinator_fixture : testing::Test
{
    explicit coordinator_fixture()
        : coordinator(
              make_entry(rollout_state::running), {0.1, 50}, seconds(0), start)
    {
    }

    // nodes "a" and "b" are old, "c" and "d" are new
    void report(char node,
                std::uint64_t responses,
                std::uint64_t failures,
                std::uint64_t sequence = 0)
    {
        bool const is_old = node < 'c';
        auto counts =
            make_counts(std::string(1, node), is_old ? v1 : v2, responses);
        counts.routes["r"].responses = responses;
        counts.routes["r"].failures = failures;
        counts.reported_at = this->now.time_since_epoch();
        counts.term = 1;
        counts.sequence = sequence;
        this->coordinator.record(counts, this->now);
    }

    // all targets report counts, and the coordinator decides
    void poll(std::uint64_t old_responses,
              std::uint64_t new_responses,
              std::uint64_t new_failures,
              std::uint64_t sequence = 0)
    {
        this->now += rollout_poll_interval;
        this->coordinator.set_targets({{node_name("a"), v1},
                                       {node_name("b"), v1},
                                       {node_name("c"), v2},
                                       {node_name("d"), v2}});
        this->report('a', old_responses, 0, sequence);
        this->report('b', old_responses, 0, sequence);
        this->report('c', new_responses, new_failures, sequence);
        this->report('d', new_responses, new_failures, sequence);
        this->coordinator.advance(this->now);
    }

    rollout_instruction instruct(char node)
    {
        return this->coordinator.instruction_for(
            node_name(std::string(1, node)));
    }

    rollout_coordinator coordinator;
    time_point now = start;
};

// guards against a new target that accepts after rolled_back was written
TEST_F(coordinator_fixture, rolls_back_only_after_all_grants_ended)
{
    this->poll(0, 0, 0);
    EXPECT_GT(this->instruct('d').max_accepted, 0U);
    this->poll(200, 20, 10);
    auto const withdrawal = this->instruct('c');
    EXPECT_TRUE(withdrawal.withdrawn);
    EXPECT_EQ(withdrawal.max_accepted, 0U);
    EXPECT_FALSE(this->coordinator.wanted_status());
    // one gate confirms, the other one is not reachable
    this->now += milliseconds(700);
    this->report('c', 20, 10, withdrawal.sequence);
    this->coordinator.advance(this->now);
    EXPECT_FALSE(this->coordinator.wanted_status());
    this->now += milliseconds(200);
    this->coordinator.advance(this->now);
    ASSERT_TRUE(this->coordinator.wanted_status());
    EXPECT_EQ(this->coordinator.wanted_status()->state,
              rollout_state::rolled_back);
}

// guards against a shared failure that is seen at the new version first
TEST_F(coordinator_fixture, uncertain_finding_must_last_for_a_further_poll)
{
    this->poll(200, 0, 0);
    this->poll(200, 6, 2);
    EXPECT_FALSE(this->instruct('c').withdrawn);
    this->poll(200, 6, 2);
    this->poll(200, 6, 2);
    EXPECT_TRUE(this->instruct('c').withdrawn);
}

// guards against grants by a coordinator that was replaced unnoticed
TEST_F(coordinator_fixture, grants_only_while_most_nodes_respond)
{
    this->poll(0, 0, 0);
    auto const before = this->instruct('c').expires_at;
    this->now += milliseconds(1500);
    this->report('a', 10, 0);
    this->report('c', 0, 0);
    this->coordinator.advance(this->now);
    EXPECT_EQ(this->instruct('c').expires_at, before);
    this->report('b', 10, 0);
    this->coordinator.advance(this->now);
    EXPECT_GT(this->instruct('c').expires_at, before);
}

// guards against a second conclusion: the first write may have arrived without
// an answer
TEST_F(coordinator_fixture, conclusion_stays_while_it_is_written)
{
    this->poll(0, 0, 0);
    this->poll(200, 20, 10);
    this->poll(200, 20, 10, this->instruct('c').sequence);
    ASSERT_TRUE(this->coordinator.wanted_status());
    auto const wanted = *this->coordinator.wanted_status();
    this->poll(9000, 900, 11, this->instruct('c').sequence);
    EXPECT_EQ(this->coordinator.wanted_status(), wanted);

    auto closing =
        make_entry(rollout_state::running, rollout_stage::shifting, 1);
    this->coordinator =
        rollout_coordinator(closing, {0.1, 50}, seconds(5), this->now);
    this->poll(9100, 920, 11);
    this->now += seconds(4); // the old targets are silent
    this->report('c', 950, 11);
    this->report('d', 950, 11);
    this->coordinator.advance(this->now);
    ASSERT_TRUE(this->coordinator.wanted_status());
    EXPECT_EQ(this->coordinator.wanted_status()->state,
              rollout_state::completed);
    this->now += seconds(1);
    this->report('c', 1500, 500);
    this->report('d', 1500, 500);
    this->coordinator.advance(this->now);
    EXPECT_EQ(this->coordinator.judgement().verdict, rollout_verdict::bad);
    EXPECT_EQ(this->coordinator.wanted_status()->state,
              rollout_state::completed);
    EXPECT_FALSE(this->instruct('c').withdrawn);
}

TEST(rollout_election, one_candidate_acts_and_the_next_one_after_a_delay)
{
    auto entry = make_entry(rollout_state::none);
    std::vector<rollout_candidate> candidates = {{node_name("a"), true, true},
                                                 {node_name("b"), true, true},
                                                 {node_name("d"), false, true}};
    auto const first =
        elect_rollout_coordinator(entry.order.service, candidates);
    ASSERT_TRUE(first);
    auto const second = node_name(first->value() == "a" ? "b" : "a");
    EXPECT_TRUE(should_take_over(*first, entry, candidates, seconds(0)));
    EXPECT_FALSE(should_take_over(second, entry, candidates, seconds(1)));
    EXPECT_TRUE(
        should_take_over(second, entry, candidates, rollout_takeover_delay));
    entry = make_entry(rollout_state::running);
    entry.status->coordinator = *first;
    EXPECT_FALSE(should_take_over(second, entry, candidates, seconds(1)));
    EXPECT_TRUE(
        should_take_over(second, entry, candidates, rollout_takeover_delay));
    entry = make_entry(rollout_state::completed);
    EXPECT_FALSE(should_take_over(*first, entry, candidates, hours(1)));
}

} // namespace
} // namespace endivehinge
