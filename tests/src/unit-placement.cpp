#include <gtest/gtest.h>

#include <random> // mt19937_64
#include <vector> // vector

#include <endivehinge/policy/load_aware_policy.hpp>
#include <endivehinge/policy/signal_table.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

time_point const now(std::chrono::seconds(100));

enum class place
{
    local,
    near,
    far,
};

// what one row says of a candidate; a limit of 20 and 10 ms unless said
struct view
{
    place where = place::near;
    int in_flight = 10;
    int latency_ms = 10;
    int signal_age_ms = 0;
    int sent_since = 0;
    int observed_ms = 0;
    int observed_age_ms = 0;
    int waiting_ms = 0;
    int limit = 20;
    bool known = true;
};

placement_candidate make_candidate(view const & seen)
{
    placement_candidate made;
    made.local = seen.where == place::local;
    made.same_domain = seen.where != place::far;
    made.round_trip_time = seen.where == place::local  ? microseconds(0)
                           : seen.where == place::near ? microseconds(200)
                                                       : microseconds(1000);
    made.sent_since_signal = seen.sent_since;
    if (seen.known)
    {
        made.signal = load_signal{static_cast<double>(seen.in_flight),
                                  static_cast<double>(seen.limit),
                                  milliseconds(seen.latency_ms),
                                  now - milliseconds(seen.signal_age_ms)};
    }
    if (seen.observed_ms > 0)
    {
        made.observed_latency =
            latency_observation{milliseconds(seen.observed_ms),
                                now - milliseconds(seen.observed_age_ms)};
    }
    if (seen.waiting_ms > 0)
    {
        made.waiting_since = now - milliseconds(seen.waiting_ms);
    }
    return made;
}

struct choice_case
{
    char const * what;
    view first;
    view second;
    std::size_t chosen;
};

std::vector<choice_case> choice_cases()
{
    view const usual;
    view const far_usual{place::far};
    std::vector<choice_case> cases;
    auto const add =
        [&cases](char const * what, view first, view second, std::size_t chosen)
    {
        cases.push_back({what, first, second, chosen});
    };
    add("less loaded", {place::near, 18}, {place::near, 4}, 1);
    add("local saves a hop", {place::local}, usual, 0);
    add("same domain first", usual, {place::far, 2}, 0);
    add("same domain full", {place::near, 25}, far_usual, 1);
    add("local full", {place::local, 30}, usual, 1);
    add("both full, shorter queue", {place::near, 40}, {place::near, 24}, 1);
    add("slow at its node", {place::near, 2, 100}, usual, 1);
    add("a little slower is chance",
        {place::near, 2, 14},
        {place::near, 18},
        0);
    add("own sends fill it", {place::near, 10, 10, 0, 12}, usual, 1);
    add("old idle signal is no idleness",
        {place::near, 0, 10, 10000},
        {place::near, 6},
        1);
    add("old busy signal is no business",
        {place::near, 30, 10, 10000},
        {place::near, 19},
        0);
    add("nothing known is not idle",
        {place::near, 0, 0, 0, 0, 0, 0, 0, 0, false},
        {place::near, 4},
        1);
    add("lies of its speed", {place::near, 2, 10, 0, 0, 100}, usual, 1);
    add("lied long ago",
        {place::near, 2, 10, 0, 0, 100, 10000},
        {place::near, 18},
        0);
    add("holds a request back", {place::near, 2, 10, 0, 0, 0, 0, 60}, usual, 1);
    add("room at a straggler is no room",
        {place::near, 0, 100},
        {place::near, 22},
        1);
    add("takes no work",
        {place::near, 0, 10, 0, 0, 0, 0, 0, 0},
        {place::far, 30},
        1);
    add("cold with a small limit",
        {place::near, 2, 10, 0, 0, 0, 0, 0, 2},
        {place::near, 15},
        1);
    return cases;
}

TEST(placement, each_case_has_its_choice)
{
    load_aware_policy const policy;
    for (auto const & row : choice_cases())
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            std::mt19937_64 random(seed);
            EXPECT_EQ(policy.choose({make_candidate(row.first),
                                     make_candidate(row.second)},
                                    now,
                                    random),
                      row.chosen)
                << row.what;
        }
    }
}

TEST(placement, no_candidates_no_choice)
{
    std::mt19937_64 random(1);
    EXPECT_FALSE(load_aware_policy().choose({}, now, random).has_value());
}

TEST(placement, a_straggler_among_many_gets_next_to_nothing)
{
    std::vector<placement_candidate> candidates(
        30, make_candidate({place::far, 10}));
    candidates[7] = make_candidate({place::far, 1, 10, 0, 0, 100});
    load_aware_policy const policy;
    std::mt19937_64 random(1);
    for (int draw = 0; draw < 2000; ++draw)
    {
        EXPECT_NE(policy.choose(candidates, now, random), 7U);
    }
}

class signal_table_test : public testing::Test
{
protected:
    placement_candidate described()
    {
        placement_candidate candidate;
        candidate.node = this->node;
        this->table.describe(candidate);
        return candidate;
    }

    void answer_with_signal(time_point sent_at, time_point at)
    {
        attempt_report report;
        report.sent_at = sent_at;
        report.signal = load_signal{3, 20, milliseconds(10), at};
        report.time_at_node = milliseconds(10);
        this->table.ended(this->node, report, at);
    }

    node_name const node{"node-1"};
    signal_table table;
};

TEST_F(signal_table_test, counts_own_sends_until_the_next_signal)
{
    this->table.sent(this->node, now);
    this->table.sent(this->node, now + milliseconds(1));
    EXPECT_EQ(this->described().sent_since_signal, 2);
    EXPECT_EQ(this->described().own_in_flight, 2);
    EXPECT_EQ(this->described().waiting_since, now);
    this->answer_with_signal(now, now + milliseconds(12));
    EXPECT_EQ(this->described().sent_since_signal, 0);
    EXPECT_EQ(this->described().own_in_flight, 1);
    EXPECT_EQ(this->described().waiting_since, now + milliseconds(1));
    EXPECT_EQ(this->described().round_trip_time, milliseconds(2));
    EXPECT_EQ(this->described().observed_latency->latency, milliseconds(10));
}

TEST_F(signal_table_test, an_older_signal_does_not_replace_a_newer_one)
{
    this->table.record_signal(this->node, {9, 20, milliseconds(10), now});
    this->table.record_signal(this->node,
                              {1, 20, milliseconds(10), now - milliseconds(5)});
    EXPECT_EQ(this->described().signal->in_flight, 9);
}

TEST_F(signal_table_test, a_target_that_fails_fast_looks_slow)
{
    this->table.sent(this->node, now);
    attempt_report report;
    report.ended = attempt_report::result::failed;
    report.sent_at = now;
    this->table.ended(this->node, report, now + milliseconds(1));
    EXPECT_GE(this->described().observed_latency->latency, milliseconds(100));
    EXPECT_EQ(this->described().own_in_flight, 0);
    this->table.forget(this->node);
    EXPECT_FALSE(this->described().observed_latency.has_value());
}

} // namespace
} // namespace endivehinge
