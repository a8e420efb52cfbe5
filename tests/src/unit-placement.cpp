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

enum class location
{
    local,
    local_domain,
    remote_domain,
};

// load of a candidate in a test case; limit 20 and latency 10 ms by default
struct candidate_view
{
    location place = location::local_domain;
    int in_flight = 10;
    int latency_ms = 10;
    int signal_age_ms = 0;
    int sent_since = 0;
    int observed_ms = 0;
    int observed_age_ms = 0;
    int waiting_ms = 0;
    int limit = 20;
    bool has_signal = true;
};

placement_candidate make_candidate(candidate_view const & view)
{
    placement_candidate candidate;
    candidate.local = view.place == location::local;
    candidate.same_domain = view.place != location::remote_domain;
    candidate.round_trip_time = view.place == location::local ? microseconds(0)
                                : view.place == location::local_domain
                                    ? microseconds(200)
                                    : microseconds(1000);
    candidate.sent_since_signal = view.sent_since;
    if (view.has_signal)
    {
        candidate.signal = load_signal{static_cast<double>(view.in_flight),
                                       static_cast<double>(view.limit),
                                       milliseconds(view.latency_ms),
                                       now - milliseconds(view.signal_age_ms)};
    }
    if (view.observed_ms > 0)
    {
        candidate.observed_latency =
            latency_observation{milliseconds(view.observed_ms),
                                now - milliseconds(view.observed_age_ms)};
    }
    if (view.waiting_ms > 0)
    {
        candidate.oldest_sent_at = now - milliseconds(view.waiting_ms);
    }
    return candidate;
}

struct choice_case
{
    char const * name;
    candidate_view first;
    candidate_view second;
    std::size_t chosen;
};

std::vector<choice_case> choice_cases()
{
    candidate_view const typical;
    candidate_view const typical_remote{location::remote_domain};
    std::vector<choice_case> cases;
    auto const add = [&cases](char const * name,
                              candidate_view first,
                              candidate_view second,
                              std::size_t chosen)
    {
        cases.push_back({name, first, second, chosen});
    };
    add("less loaded target",
        {location::local_domain, 18},
        {location::local_domain, 4},
        1);
    add("local target saves a network hop", {location::local}, typical, 0);
    add("same failure domain is preferred",
        typical,
        {location::remote_domain, 2},
        0);
    add("other failure domain if local domain is full",
        {location::local_domain, 25},
        typical_remote,
        1);
    add("same failure domain if local target is full",
        {location::local, 30},
        typical,
        1);
    add("shorter queue if both are full",
        {location::local_domain, 40},
        {location::local_domain, 24},
        1);
    add("reported latency is high",
        {location::local_domain, 2, 100},
        typical,
        1);
    add("small latency difference is ignored",
        {location::local_domain, 2, 14},
        {location::local_domain, 18},
        0);
    add("requests sent since the signal fill the target",
        {location::local_domain, 10, 10, 0, 12},
        typical,
        1);
    add("old idle signal does not mean idle",
        {location::local_domain, 0, 10, 10000},
        {location::local_domain, 6},
        1);
    add("old busy signal does not mean busy",
        {location::local_domain, 30, 10, 10000},
        {location::local_domain, 19},
        0);
    add("missing signal does not mean idle",
        {location::local_domain, 0, 0, 0, 0, 0, 0, 0, 0, false},
        {location::local_domain, 4},
        1);
    add("observed latency contradicts the reported one",
        {location::local_domain, 2, 10, 0, 0, 100},
        typical,
        1);
    add("old observed latency is ignored",
        {location::local_domain, 2, 10, 0, 0, 100, 10000},
        {location::local_domain, 18},
        0);
    add("pending request is overdue",
        {location::local_domain, 2, 10, 0, 0, 0, 0, 60},
        typical,
        1);
    add("spare capacity at a straggler is ignored",
        {location::local_domain, 0, 100},
        {location::local_domain, 22},
        1);
    add("target accepts no requests",
        {location::local_domain, 0, 10, 0, 0, 0, 0, 0, 0},
        {location::remote_domain, 30},
        1);
    add("cold target with a low limit",
        {location::local_domain, 2, 10, 0, 0, 0, 0, 0, 2},
        {location::local_domain, 15},
        1);
    return cases;
}

TEST(placement, chooses_expected_candidate)
{
    load_aware_policy const policy;
    for (auto const & test_case : choice_cases())
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            std::mt19937_64 random(seed);
            EXPECT_EQ(policy.choose({make_candidate(test_case.first),
                                     make_candidate(test_case.second)},
                                    now,
                                    random),
                      test_case.chosen)
                << test_case.name;
        }
    }
}

TEST(placement, no_choice_without_candidates)
{
    std::mt19937_64 random(1);
    EXPECT_FALSE(load_aware_policy().choose({}, now, random).has_value());
}

TEST(placement, straggler_among_many_gets_no_requests)
{
    std::vector<placement_candidate> candidates(
        30, make_candidate({location::remote_domain, 10}));
    candidates[7] = make_candidate({location::remote_domain, 1, 10, 0, 0, 100});
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
    placement_candidate describe_node()
    {
        placement_candidate candidate;
        candidate.node = this->node;
        this->table.describe(candidate);
        return candidate;
    }

    void end_request_with_signal(time_point sent_at, time_point received_at)
    {
        attempt_report report;
        report.sent_at = sent_at;
        report.signal = load_signal{3, 20, milliseconds(10), received_at};
        report.time_at_node = milliseconds(10);
        this->table.ended(this->node, report, received_at);
    }

    node_name const node{"node-1"};
    signal_table table;
};

TEST_F(signal_table_test, counts_sent_requests_until_next_signal)
{
    this->table.sent(this->node, now);
    this->table.sent(this->node, now + milliseconds(1));
    EXPECT_EQ(this->describe_node().sent_since_signal, 2);
    EXPECT_EQ(this->describe_node().own_in_flight, 2);
    EXPECT_EQ(this->describe_node().oldest_sent_at, now);
    this->end_request_with_signal(now, now + milliseconds(12));
    EXPECT_EQ(this->describe_node().sent_since_signal, 0);
    EXPECT_EQ(this->describe_node().own_in_flight, 1);
    EXPECT_EQ(this->describe_node().oldest_sent_at, now + milliseconds(1));
    EXPECT_EQ(this->describe_node().round_trip_time, milliseconds(2));
    EXPECT_EQ(this->describe_node().observed_latency->latency,
              milliseconds(10));
}

TEST_F(signal_table_test, older_signal_does_not_replace_newer_one)
{
    this->table.record_signal(this->node, {9, 20, milliseconds(10), now});
    this->table.record_signal(this->node,
                              {1, 20, milliseconds(10), now - milliseconds(5)});
    EXPECT_EQ(this->describe_node().signal->in_flight, 9);
}

TEST_F(signal_table_test, target_that_fails_quickly_has_high_latency)
{
    this->table.sent(this->node, now);
    attempt_report report;
    report.ended = attempt_report::result::failed;
    report.sent_at = now;
    this->table.ended(this->node, report, now + milliseconds(1));
    EXPECT_GE(this->describe_node().observed_latency->latency,
              milliseconds(100));
    EXPECT_EQ(this->describe_node().own_in_flight, 0);
    this->table.forget(this->node);
    EXPECT_FALSE(this->describe_node().observed_latency.has_value());
}

} // namespace
} // namespace endivehinge
