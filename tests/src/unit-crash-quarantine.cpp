#include <string> // to_string

#include <gtest/gtest.h>

#include <endivehinge/policy/crash_quarantine.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

request_fingerprint const poison(1);
request_fingerprint const innocent(2);
time_point const start(seconds(1000));

struct death
{
    char const * target_run;
    bool isolated;
};

struct quarantine_case
{
    char const * name;
    std::vector<death> deaths;
    quarantine_verdict expected;
};

class quarantine_after_deaths : public ::testing::TestWithParam<quarantine_case>
{
};

TEST_P(quarantine_after_deaths, gives_the_verdict)
{
    crash_quarantine quarantine;
    for (auto const & each : GetParam().deaths)
    {
        static_cast<void>(quarantine.crashed(
            poison, crash_id(each.target_run), each.isolated, start));
    }
    EXPECT_EQ(quarantine.check(poison, start).verdict, GetParam().expected);
    EXPECT_EQ(quarantine.check(innocent, start).verdict,
              quarantine_verdict::clear);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    quarantine_after_deaths,
    ::testing::Values(
        quarantine_case{"none", {}, quarantine_verdict::clear},
        quarantine_case{
            "one_with_others", {{"a/1", false}}, quarantine_verdict::suspect},
        quarantine_case{
            "one_alone", {{"a/1", true}}, quarantine_verdict::suspect},
        quarantine_case{"the_same_death_told_twice",
                        {{"a/1", false}, {"a/1", true}},
                        quarantine_verdict::suspect},
        quarantine_case{"two_with_others",
                        {{"a/1", false}, {"b/1", false}},
                        quarantine_verdict::suspect},
        quarantine_case{"the_second_alone",
                        {{"a/1", false}, {"b/1", true}},
                        quarantine_verdict::crashing},
        quarantine_case{"a_later_run_of_the_same_target",
                        {{"a/1", false}, {"a/2", true}},
                        quarantine_verdict::crashing},
        quarantine_case{"the_third_alone",
                        {{"a/1", false}, {"b/1", false}, {"c/1", true}},
                        quarantine_verdict::crashing}),
    [](auto const & tested)
    {
        return std::string(tested.param.name);
    });

TEST(crash_quarantine, a_suspect_that_finishes_is_clear)
{
    crash_quarantine quarantine;
    static_cast<void>(
        quarantine.crashed(innocent, crash_id("a/1"), false, start));
    quarantine.finished(innocent);
    EXPECT_EQ(quarantine.check(innocent, start).verdict,
              quarantine_verdict::clear);
}

TEST(crash_quarantine, suspicions_and_marks_expire)
{
    quarantine_options const options;
    crash_quarantine quarantine(options);
    static_cast<void>(
        quarantine.crashed(innocent, crash_id("a/1"), false, start));
    static_cast<void>(
        quarantine.crashed(poison, crash_id("a/1"), false, start));
    static_cast<void>(quarantine.crashed(poison, crash_id("b/1"), true, start));
    auto const suspicion_over = start + options.suspicion;
    EXPECT_EQ(quarantine.check(innocent, suspicion_over).verdict,
              quarantine_verdict::clear);
    EXPECT_EQ(quarantine.check(poison, suspicion_over).verdict,
              quarantine_verdict::crashing);
    EXPECT_EQ(quarantine.check(poison, start + options.mark).verdict,
              quarantine_verdict::clear);
}

TEST(crash_quarantine, another_node_learns_the_verdict)
{
    crash_quarantine first;
    crash_quarantine second;
    second.merge(first.crashed(poison, crash_id("a/1"), false, start), start);
    EXPECT_EQ(second.check(poison, start).verdict, quarantine_verdict::suspect);
    auto const mark = second.crashed(poison, crash_id("b/1"), true, start);
    first.merge(mark, start);
    EXPECT_EQ(first.check(poison, start).verdict, quarantine_verdict::crashing);
}

TEST(crash_quarantine, stays_within_its_bound)
{
    quarantine_options options;
    options.entries = 8;
    crash_quarantine quarantine(options);
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        static_cast<void>(quarantine.crashed(request_fingerprint(i),
                                             crash_id("a/1"),
                                             false,
                                             start + seconds(i)));
    }
    EXPECT_EQ(quarantine.size(), options.entries);
}

} // namespace
} // namespace endivehinge
