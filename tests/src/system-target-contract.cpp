#include <string> // string
#include <thread> // thread
#include <vector> // vector

#include <gtest/gtest.h>
#include <nlohmann/json.hpp> // json

#include <absl/time/clock.h> // Now, SleepFor

#include <common/answer_report.hpp>
#include <common/body_digest.hpp>
#include <common/control_client.hpp>
#include <common/history_log.hpp>
#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

using nlohmann::json;

// a target stand-in as a process; no node hears what it announces
class target_contract : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->start({}));
    }

    bool start(std::vector<std::string> const & more)
    {
        std::string const programs = ENDIVEHINGE_BINARY_DIRECTORY;
        std::vector<std::string> command = {programs + "/target_stand_in",
                                            "--node",
                                            "127.0.0.1:1",
                                            "--name",
                                            "t1",
                                            "--history",
                                            this->history()};
        command.insert(command.end(), more.begin(), more.end());
        failure reason;
        this->target = tools::child_process::start(command, {}, reason);
        return this->target != nullptr;
    }

    std::string history() const
    {
        return this->folder.path() + "/history.jsonl";
    }

    std::optional<http_response> send(http_request const & message,
                                      int timeout_ms = 5000)
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::milliseconds(timeout_ms);
        detail::http_exchange_report report;
        failure reason;
        return this->client.exchange({"127.0.0.1", this->target->port("port")},
                                     message,
                                     options,
                                     report,
                                     reason);
    }

    bool change(json const & fields)
    {
        failure reason;
        return tools::control(*this->target, fields, reason);
    }

    json report()
    {
        return tools::read_report(*this->target);
    }

    // waits until the target counts so many
    bool wait_for(char const * count, int wanted)
    {
        absl::Time const end = absl::Now() + absl::Seconds(20);
        while (absl::Now() < end)
        {
            if (this->report().value(count, -1) == wanted)
            {
                return true;
            }
            absl::SleepFor(absl::Milliseconds(10));
        }
        return false;
    }

    std::size_t count(tools::history_event event) const
    {
        std::size_t found = 0;
        for (auto const & record : tools::read_history(this->history()))
        {
            found += record.event == event ? 1 : 0;
        }
        return found;
    }

    tests::temporary_folder folder;
    detail::http_client client{detail::http_client_limits()};
    std::unique_ptr<tools::child_process> target;
};

bool was_rejected(std::optional<http_response> const & response)
{
    if (!response.has_value() || response->status != 503)
    {
        return false;
    }
    auto const * const said = response->headers.find(header_names::outcome);
    return said != nullptr && *said == "rejected" &&
           response->headers.find(header_names::retry_after) != nullptr;
}

http_request make_request(std::string const & path, std::string const & body)
{
    http_request message{"POST", path, {}, body};
    message.headers.add(header_names::request_id, "n-1");
    message.headers.add(header_names::idempotency_key, "k-1");
    return message;
}

TEST_F(target_contract, an_answer_tells_what_the_target_got)
{
    for (std::size_t const bytes : {0U, 1U, 1000U, 300000U})
    {
        std::string const body(bytes, 'x');
        auto const response = this->send(make_request(
            "/booking/x?call=c1&try=c1.1&bytes=" + std::to_string(bytes),
            body));
        ASSERT_TRUE(response.has_value());
        auto const told = tools::read_answer(response->body);
        EXPECT_TRUE(told.whole);
        EXPECT_EQ(told.call, "c1");
        EXPECT_EQ(told.request_id, "n-1");
        EXPECT_EQ(told.digest_got, tools::body_digest(body));
        std::string const half =
            response->body.substr(0, response->body.size() - 1);
        EXPECT_FALSE(tools::read_answer(half).whole);
    }
}

TEST_F(target_contract, a_run_is_written_down_before_it_starts)
{
    ASSERT_TRUE(this->send(make_request("/booking/x?call=c1&try=c1.1", "a"))
                    .has_value());
    auto const records = tools::read_history(this->history());
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[0].event, tools::history_event::start);
    EXPECT_EQ(records[0].target, "t1");
    EXPECT_EQ(records[0].id, request_id("n-1"));
    EXPECT_EQ(records[0].key, idempotency_key("k-1"));
    EXPECT_EQ(records[0].service, service_name("booking"));
    EXPECT_EQ(records[0].attempt, "c1.1");
    EXPECT_EQ(records[1].event, tools::history_event::finish);
}

TEST_F(target_contract, each_way_to_reject_leaves_no_start)
{
    struct reject_case
    {
        char const * name;
        json fields;
        char const * timeout_ms;
    };

    reject_case const cases[] = {
        {"no slots and no queue", {{"slots", 0}, {"queue", 0}}, "5000"},
        {"no slot in time", {{"slots", 0}, {"queue", 5}}, "60"},
        {"the deadline has passed", {{"slots", 20}}, "0"},
        {"leaving", {{"phase", "draining"}}, "5000"},
    };
    for (auto const & one : cases)
    {
        ASSERT_TRUE(this->change(one.fields)) << one.name;
        auto message = make_request("/booking/x", "a");
        message.headers.add(header_names::timeout_ms, one.timeout_ms);
        EXPECT_TRUE(was_rejected(this->send(message))) << one.name;
    }
    EXPECT_EQ(this->count(tools::history_event::start), 0U);
}

TEST_F(target_contract, no_more_run_at_once_than_there_are_slots)
{
    ASSERT_TRUE(
        this->change({{"slots", 2}, {"queue", 20}, {"service_us", 20000}}));
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        callers.emplace_back(
            [this]()
            {
                auto const got = this->send({"GET", "/listings/x", {}, {}});
                EXPECT_TRUE(got.has_value() && got->status == 200);
            });
    }
    for (auto & caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(this->report().at("started"), 8);
    EXPECT_LE(this->report().at("most_running").get<int>(), 2);
}

TEST_F(target_contract, a_cold_target_has_few_slots_and_falls_when_pushed)
{
    ASSERT_TRUE(this->change({{"phase", "cold"},
                              {"cold_slots", 1},
                              {"warm_up_ms", 600000},
                              {"cold_breaking_point", 3},
                              {"frozen", 1}}));
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 3; ++i)
    {
        callers.emplace_back(
            [this]()
            {
                EXPECT_FALSE(
                    this->send({"GET", "/listings/x", {}, {}}).has_value());
            });
    }
    for (auto & caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(this->target->wait(absl::Seconds(20)), 42);
    EXPECT_EQ(this->count(tools::history_event::start), 1U);
    EXPECT_EQ(this->count(tools::history_event::died), 1U);
}

TEST_F(target_contract, a_cold_target_becomes_ready_with_time)
{
    ASSERT_TRUE(this->change({{"phase", "cold"}, {"warm_up_ms", 300000}}));
    EXPECT_EQ(this->report().at("phase"), "cold");
    ASSERT_TRUE(this->change({{"warm_up_ms", 1}}));
    absl::Time const deadline = absl::Now() + absl::Seconds(20);
    while (this->report().at("phase") != "ready" && absl::Now() < deadline)
    {
        absl::SleepFor(absl::Milliseconds(1));
    }
    EXPECT_EQ(this->report().at("phase"), "ready");
}

TEST_F(target_contract, a_caller_that_hangs_up_stops_its_work)
{
    ASSERT_TRUE(this->change({{"service_us", 3600000000}}));
    EXPECT_FALSE(this->send({"GET", "/listings/x", {}, {}}, 300).has_value());
    EXPECT_TRUE(this->wait_for("stopped", 1));
    EXPECT_TRUE(this->wait_for("running", 0));
}

TEST_F(target_contract, a_frozen_target_answers_nothing_until_it_thaws)
{
    ASSERT_TRUE(this->change({{"frozen", 1}}));
    EXPECT_FALSE(this->send({"GET", "/listings/x", {}, {}}, 200).has_value());
    ASSERT_TRUE(this->change({{"frozen", 0}}));
    EXPECT_TRUE(this->send({"GET", "/listings/x", {}, {}}).has_value());
}

TEST_F(target_contract, the_chosen_request_ends_it_and_a_new_run_appends)
{
    ASSERT_TRUE(this->change({{"dies_on", "poison"}}));
    ASSERT_TRUE(this->send(make_request("/booking/x", "fine")).has_value());
    EXPECT_FALSE(this->send(make_request("/booking/x", "poison")).has_value());
    EXPECT_EQ(this->target->wait(absl::Seconds(20)), 42);
    ASSERT_TRUE(this->start({}));
    ASSERT_TRUE(this->send(make_request("/booking/x", "poison")).has_value());
    EXPECT_EQ(this->count(tools::history_event::start), 3U);
    EXPECT_EQ(this->count(tools::history_event::finish), 2U);
    EXPECT_EQ(this->count(tools::history_event::died), 1U);
}

TEST_F(target_contract, its_load_report_may_lag_or_lie)
{
    auto const told = [this]()
    {
        auto const load = this->send({"GET", "/load", {}, {}});
        return load.has_value()
                   ? json::parse(load->body).at("in_flight").get<int>()
                   : -1;
    };
    ASSERT_TRUE(this->change({{"frozen", 1}}));
    std::thread caller(
        [this]()
        {
            static_cast<void>(this->send({"GET", "/listings/x", {}, {}}));
        });
    EXPECT_TRUE(this->wait_for("inside", 1));
    EXPECT_EQ(told(), 1);
    EXPECT_TRUE(this->change({{"load_lie", 17}}));
    EXPECT_EQ(told(), 17);
    EXPECT_TRUE(this->change({{"load_lie", -1}, {"load_lag_ms", 600000}}));
    EXPECT_EQ(told(), 0);
    EXPECT_TRUE(this->change({{"frozen", 0}}));
    caller.join();
}

} // namespace
} // namespace endivehinge
