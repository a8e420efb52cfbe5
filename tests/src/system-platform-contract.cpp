#include <algorithm> // find
#include <string>    // string
#include <vector>    // vector

#include <gtest/gtest.h>
#include <nlohmann/json.hpp> // json

#include <common/platform_server.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>

namespace endivehinge
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration call_timeout = milliseconds(500);

class platform_contract : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        this->platform = tools::platform_server::start(0, reason);
        ASSERT_NE(this->platform, nullptr) << reason.describe();
        this->store = std::make_unique<detail::http_object_store>(
            endpoint{"127.0.0.1", this->platform->port()},
            this->client,
            call_timeout);
    }

    // what the control port answers
    int control(json const & fields)
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(5);
        detail::http_exchange_report report;
        failure reason;
        auto const response =
            this->client.exchange({"127.0.0.1", this->platform->control_port()},
                                  {"POST", "/control", {}, fields.dump()},
                                  options,
                                  report,
                                  reason);
        return response.has_value() ? response->status : 0;
    }

    json report()
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(5);
        detail::http_exchange_report ignored;
        failure reason;
        auto const response =
            this->client.exchange({"127.0.0.1", this->platform->control_port()},
                                  {"GET", "/report", {}, {}},
                                  options,
                                  ignored,
                                  reason);
        return response.has_value() ? json::parse(response->body) : json();
    }

    object_version put(std::string const & name,
                       object_version expected,
                       std::string const & value)
    {
        this->last = {};
        return this->store->put("k", name, expected, value, this->last)
            .value_or(object_version());
    }

    std::string get(std::string const & name)
    {
        this->last = {};
        auto const found = this->store->get("k", name, this->last);
        return found.has_value() ? found->value : std::string();
    }

    detail::http_client client{detail::http_client_limits()};
    std::unique_ptr<tools::platform_server> platform;
    std::unique_ptr<detail::http_object_store> store;
    failure last;
};

TEST_F(platform_contract, a_write_needs_the_version_that_was_read)
{
    struct write_case
    {
        char const * name;
        std::uint64_t expected;
        char const * value;
        failure_id result;
    };

    // each after the one before it; the first write gives version 1
    write_case const cases[] = {
        {"create", 0, "a", failure_id::none},
        {"create what exists", 0, "b", failure_id::version_conflict},
        {"update", 1, "c", failure_id::none},
        {"update an old version", 1, "d", failure_id::version_conflict},
        {"update a version to come", 9, "e", failure_id::version_conflict},
    };
    for (auto const & one : cases)
    {
        this->put("x", object_version(one.expected), one.value);
        EXPECT_EQ(this->last.id, one.result) << one.name;
    }
    EXPECT_EQ(this->get("x"), "c");
}

TEST_F(platform_contract, a_watch_tells_changes_and_removals_once)
{
    auto const first = this->put("x", object_version(), "a");
    auto const seen = this->store->watch(
        "k", object_version(), milliseconds(100), this->last);
    ASSERT_TRUE(seen.has_value());
    ASSERT_EQ(seen->changes.size(), 1U);
    EXPECT_EQ(seen->version, first);
    ASSERT_TRUE(this->store->remove("k", "x", first, this->last).has_value());
    auto const removal =
        this->store->watch("k", seen->version, milliseconds(100), this->last);
    ASSERT_TRUE(removal.has_value());
    ASSERT_EQ(removal->changes.size(), 1U);
    EXPECT_TRUE(removal->changes[0].removed);
    auto const nothing =
        this->store->watch("k", removal->version, milliseconds(20), this->last);
    ASSERT_TRUE(nothing.has_value());
    EXPECT_TRUE(nothing->changes.empty());
}

TEST_F(platform_contract, each_fault_is_a_failure_and_passes)
{
    struct fault_case
    {
        char const * name;
        json fields;
        std::vector<failure_id> results;
    };

    fault_case const cases[] = {
        {"refused",
         {{"outage", "refuse"}},
         {failure_id::connect_failed, failure_id::connection_lost}},
        {"hanging", {{"outage", "hang"}}, {failure_id::timed_out}},
        {"failing",
         {{"outage", "error"}},
         {failure_id::connection_lost, failure_id::store_unavailable}},
        {"slower than the timeout",
         {{"slow_ms", 2000}},
         {failure_id::timed_out}},
        {"over the limit",
         {{"reads_per_second", 0}, {"enforces_limits", 1}},
         {failure_id::rate_limited}},
    };
    this->put("x", object_version(), "a");
    for (auto const & one : cases)
    {
        EXPECT_EQ(this->control(one.fields), 200) << one.name;
        EXPECT_EQ(this->get("x"), "") << one.name;
        EXPECT_NE(
            std::find(one.results.begin(), one.results.end(), this->last.id),
            one.results.end())
            << one.name << ": " << this->last.describe();
        EXPECT_EQ(this->control({{"outage", "none"},
                                 {"slow_ms", 0},
                                 {"reads_per_second", 2000},
                                 {"enforces_limits", 0}}),
                  200);
        EXPECT_EQ(this->get("x"), "a") << one.name;
    }
}

TEST_F(platform_contract, a_write_may_take_effect_without_its_answer)
{
    ASSERT_EQ(this->control({{"lost_write_answers", 1}}), 200);
    EXPECT_EQ(this->put("x", object_version(), "a"), object_version());
    EXPECT_EQ(this->last.id, failure_id::connection_lost);
    EXPECT_EQ(this->get("x"), "a");
    EXPECT_NE(this->put("y", object_version(), "b"), object_version());
}

TEST_F(platform_contract, reads_and_watches_may_be_old)
{
    auto const first = this->put("x", object_version(), "old");
    auto const second = this->put("x", first, "new");
    ASSERT_EQ(this->control({{"stale_versions", 1}}), 200);
    EXPECT_EQ(this->get("x"), "old");
    auto const listed = this->store->list("k", this->last);
    ASSERT_TRUE(listed.has_value());
    EXPECT_EQ(listed->at(0).value, "old");
    auto const watched =
        this->store->watch("k", second, milliseconds(20), this->last);
    ASSERT_TRUE(watched.has_value());
    EXPECT_EQ(watched->version, first);
    // a conditional write is never decided on old data
    this->put("x", first, "lost update");
    EXPECT_EQ(this->last.id, failure_id::version_conflict);
}

TEST_F(platform_contract, calls_are_counted)
{
    this->put("x", object_version(), "a");
    this->get("x");
    ASSERT_TRUE(
        this->store->watch("k", object_version(), milliseconds(10), this->last)
            .has_value());
    json const counted = this->report();
    EXPECT_EQ(counted.at("writes"), 1);
    EXPECT_EQ(counted.at("reads"), 2);
    EXPECT_EQ(counted.at("watches"), 1);
    EXPECT_EQ(counted.at("writes_beyond_limit"), 0);
}

TEST_F(platform_contract, a_wrong_control_changes_nothing)
{
    json const cases[] = {{{"outages", "hang"}},
                          {{"outage", 1}},
                          {{"slow_ms", "100"}},
                          {{"slow_ms", 100}, {"unknown", 1}},
                          json::array({1}),
                          "text"};
    for (auto const & one : cases)
    {
        EXPECT_EQ(this->control(one), 400) << one.dump();
    }
    this->put("x", object_version(), "a");
    EXPECT_EQ(this->last.id, failure_id::none);
}

} // namespace
} // namespace endivehinge
