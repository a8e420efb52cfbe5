#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <endivehinge/detail/metrics/metrics.hpp>
#include <endivehinge/policy/burn_counter.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using ::testing::HasSubstr;
using ::testing::Not;

class manual_clock final : public clock
{
public:
    time_point now() const override
    {
        return this->current;
    }

    wall_time wall_now() const override
    {
        return wall_time(this->current.time_since_epoch());
    }

    time_point current{hours(100)};
};

struct burn_rate_case
{
    std::uint64_t total;
    std::uint64_t bad;
    double target_share;
    double expected_rate;
};

TEST(burn_rate, is_bad_share_divided_by_error_budget)
{
    burn_rate_case const cases[] = {
        {0, 0, 0.999, 0},
        {1000, 0, 0.999, 0},
        {1000, 1, 0.999, 1},
        {1000, 10, 0.999, 10},
        {100, 100, 0.999, 1000},
        {100, 50, 0.5, 1},
        {100, 100, 0, 1},
    };
    for (auto const & test_case : cases)
    {
        EXPECT_NEAR(burn_rate({minutes(5), test_case.total, test_case.bad},
                              test_case.target_share),
                    test_case.expected_rate,
                    1e-6);
    }
}

TEST(burn_counter, counts_only_requests_within_each_window)
{
    burn_counter counter;
    time_point now{hours(50)};
    for (int minute = 0; minute < 12 * 60; ++minute)
    {
        counter.record(now, false);
        now += minutes(1);
    }
    now -= minutes(1);
    auto const windows = counter.windows(now);
    EXPECT_EQ(windows[0].total, 5U);
    EXPECT_EQ(windows[1].total, 30U);
    EXPECT_EQ(windows[2].total, 60U);
    EXPECT_EQ(windows[3].total, 360U);
    EXPECT_EQ(windows[3].bad, 360U);
    // after an hour without requests the 1-hour window is empty
    auto const windows_after_idle_hour = counter.windows(now + hours(1));
    EXPECT_EQ(windows_after_idle_hour[2].total, 0U);
    EXPECT_EQ(windows_after_idle_hour[3].total, 300U);
}

class metrics_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        configuration initial;
        initial.version = object_version(7);
        service_configuration service;
        service.name = service_name("booking");
        service.objective = {0.9, milliseconds(100)};
        initial.services.push_back(service);
        this->holder.replace(initial);
    }

    configuration_holder holder;
    manual_clock time;
    metrics recorded_metrics{holder, time};
    service_name booking{"booking"};
};

TEST_F(metrics_test, exposition_contains_outcomes_and_latencies)
{
    for (int i = 0; i < 100; ++i)
    {
        this->recorded_metrics.record(
            this->booking, outcome_kind::answered, milliseconds(20));
    }
    this->recorded_metrics.record(
        this->booking, outcome_kind::rejected, seconds(0));
    this->recorded_metrics.record(
        service_name("none"), outcome_kind::answered, seconds(1));
    std::string const text = this->recorded_metrics.exposition();
    EXPECT_THAT(text,
                HasSubstr("endivehinge_requests_total{service=\"booking\","
                          "outcome=\"answered\"} 100\n"));
    EXPECT_THAT(text, HasSubstr("outcome=\"rejected\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("quantile=\"0.99\"} 0.02\n"));
    EXPECT_THAT(text, HasSubstr("endivehinge_configuration_version 7\n"));
    EXPECT_THAT(text, Not(HasSubstr("none")));
}

TEST_F(metrics_test, late_and_unanswered_requests_use_error_budget)
{
    this->recorded_metrics.record(
        this->booking, outcome_kind::answered, milliseconds(100));
    this->recorded_metrics.record(
        this->booking, outcome_kind::answered, milliseconds(101));
    this->recorded_metrics.record(
        this->booking, outcome_kind::rejected, seconds(0));
    this->recorded_metrics.record(
        this->booking, outcome_kind::indeterminate, seconds(0));
    auto const burns = this->recorded_metrics.burn();
    ASSERT_EQ(burns.size(), 1U);
    EXPECT_EQ(burns[0].windows[0].total, 4U);
    EXPECT_EQ(burns[0].windows[0].bad, 3U);
    EXPECT_NEAR(burn_rate(burns[0].windows[0], 0.9), 7.5, 1e-9);
}

TEST_F(metrics_test, removed_service_is_not_exposed)
{
    this->recorded_metrics.record(
        this->booking, outcome_kind::answered, milliseconds(1));
    configuration empty;
    empty.version = object_version(8);
    this->holder.replace(empty);
    EXPECT_THAT(this->recorded_metrics.exposition(), Not(HasSubstr("booking")));
}

} // namespace
} // namespace endivehinge::detail
