#include <string> // string
#include <thread> // thread
#include <vector> // vector

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h> // StrAppend, StrCat
#include <absl/time/clock.h>      // SleepFor

#include <common/answer_report.hpp>
#include <common/control_client.hpp>
#include <common/history_log.hpp>
#include <common/local_deployment.hpp>
#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

// the first call and those below it, each of a service of its own
constexpr std::size_t levels = 16;

std::string service_at(std::size_t level)
{
    return absl::StrCat("s", level);
}

std::string configuration_text()
{
    std::string text = "services:\n";
    for (std::size_t i = 0; i < levels; ++i)
    {
        absl::StrAppend(&text,
                        "  - name: ",
                        service_at(i),
                        "\n    deadline_ms: 5000\n    routes:\n"
                        "      - {method: GET, path: /",
                        service_at(i),
                        "/, repeatable: true}\n");
        if (i + 1 < levels)
        {
            absl::StrAppend(
                &text, "    depends_on: [", service_at(i + 1), "]\n");
        }
    }
    return text;
}

class call_chain : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        this->deployment.write_history(this->history());
        ASSERT_TRUE(
            this->deployment.start_platform(configuration_text(), reason))
            << reason.describe();
        for (std::size_t i = 0; i < levels; ++i)
        {
            ASSERT_TRUE(
                this->deployment.start_instance({service_at(i) + "-1",
                                                 service_at(i),
                                                 "a",
                                                 {"--service_us", "2000"}},
                                                reason))
                << reason.describe();
        }
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(20)));
    }

    std::string history() const
    {
        return this->folder.path() + "/history.jsonl";
    }

    std::optional<http_response> send(int timeout_ms)
    {
        tools::request_marks marks;
        marks.call = "c1";
        marks.attempt = "c1.1";
        for (std::size_t i = 1; i < levels; ++i)
        {
            marks.chain.push_back(service_at(i));
        }
        http_request message{
            "GET", "/s0/x" + tools::write_marks(marks), {}, {}};
        message.headers.set(header_names::timeout_ms,
                            std::to_string(timeout_ms));
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(20);
        detail::http_exchange_report report;
        failure reason;
        return this->client.exchange(
            this->deployment.ingress(0), message, options, report, reason);
    }

    bool slow_down(int factor)
    {
        failure reason;
        bool done = true;
        for (std::size_t i = 0; i < levels; ++i)
        {
            done = tools::control(*this->deployment.instance(i).target,
                                  {{"straggle_factor", factor}},
                                  reason) &&
                   done;
        }
        return done;
    }

    // of one target, or of all where no name is given
    std::size_t starts_at(std::string const & target) const
    {
        std::size_t found = 0;
        for (auto const & record : tools::read_history(this->history()))
        {
            bool const counts = target.empty() || record.target == target;
            found +=
                counts && record.event == tools::history_event::start ? 1 : 0;
        }
        return found;
    }

    std::size_t starts() const
    {
        return this->starts_at({});
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(call_chain, a_call_over_sixteen_levels_is_answered)
{
    auto const response = this->send(5000);
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 200) << response->body;
    EXPECT_TRUE(tools::read_answer(response->body).whole);
    for (std::size_t i = 0; i < levels; ++i)
    {
        EXPECT_GE(this->starts_at(service_at(i) + "-1"), 1U) << i;
    }
}

// a deadline that allows some levels ends the chain, and no level goes on
// in a time of its own
TEST_F(call_chain, the_deadline_of_the_first_call_holds_at_each_level)
{
    ASSERT_TRUE(this->slow_down(300));
    auto const response = this->send(400);
    ASSERT_TRUE(response.has_value());
    EXPECT_NE(response->status, 200);
    absl::SleepFor(absl::Seconds(1));
    std::size_t const started = this->starts();
    EXPECT_EQ(this->starts_at("s15-1"), 0U);
    absl::SleepFor(absl::Seconds(1));
    EXPECT_EQ(this->starts(), started);
}

// what a level adds must not multiply with what the levels above it added
TEST_F(call_chain, extra_tries_stay_within_the_budget_at_the_last_level)
{
    ASSERT_TRUE(this->slow_down(10));
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        callers.emplace_back(
            [this]()
            {
                for (int call = 0; call < 10; ++call)
                {
                    static_cast<void>(this->send(5000));
                }
            });
    }
    for (auto & caller : callers)
    {
        caller.join();
    }
    // the shares of retries and of hedged requests in the configuration
    service_configuration const defaults;
    double const first_tries = 40;
    EXPECT_LE(static_cast<double>(this->starts_at("s15-1")),
              first_tries * (1 + defaults.retry_share + defaults.hedge_share));
}

} // namespace
} // namespace endivehinge
