#include <string> // string
#include <vector> // vector

#include <gtest/gtest.h>
#include <nlohmann/json.hpp> // json

#include <absl/time/clock.h> // Now, SleepFor

#include <common/history_log.hpp>
#include <common/local_deployment.hpp>
#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

constexpr char const * configuration_text = R"(
services:
  - name: listings
    deadline_ms: 2000
    routes:
      - {method: GET, path: /listings/, repeatable: true}
  - name: booking
    deadline_ms: 2000
    depends_on: [listings]
)";

constexpr int targets = 4;
constexpr int callers_tries = 12;
// a crash makes a request suspect, a second one marks it; while the mark
// spreads, one more node may run it
constexpr std::size_t most_deaths = 3;

// each target dies of a request that holds the marker and is started again
class crashing_request : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        this->deployment.write_history(this->history());
        ASSERT_TRUE(this->deployment.start_platform(configuration_text, reason))
            << reason.describe();
        for (int i = 0; i < targets; ++i)
        {
            ASSERT_TRUE(this->deployment.start_instance(
                {"listings-" + std::to_string(i),
                 "listings",
                 i % 2 == 0 ? "a" : "b",
                 {"--dies_on", "poison"}},
                reason))
                << reason.describe();
        }
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(20)));
    }

    std::string history() const
    {
        return this->folder.path() + "/history.jsonl";
    }

    std::optional<http_response> send(std::size_t node,
                                      std::string const & path)
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(10);
        detail::http_exchange_report report;
        failure reason;
        return this->client.exchange(this->deployment.ingress(node),
                                     {"GET", path, {}, {}},
                                     options,
                                     report,
                                     reason);
    }

    void restart_dead_targets()
    {
        for (std::size_t i = 0; i < this->deployment.size(); ++i)
        {
            auto & target = *this->deployment.instance(i).target;
            if (target.wait(absl::ZeroDuration()).has_value())
            {
                failure reason;
                EXPECT_TRUE(this->deployment.restart_target(i, reason))
                    << reason.describe();
            }
        }
    }

    std::size_t deaths() const
    {
        std::size_t found = 0;
        for (auto const & record : tools::read_history(this->history()))
        {
            found += record.event == tools::history_event::died ? 1 : 0;
        }
        return found;
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(crashing_request, ends_few_targets_and_is_then_refused)
{
    std::string last;
    for (int i = 0; i < callers_tries; ++i)
    {
        auto const response = this->send(static_cast<std::size_t>(i % targets),
                                         "/listings/poison");
        ASSERT_TRUE(response.has_value());
        EXPECT_NE(response->status, 200);
        last = response->body;
        this->restart_dead_targets();
    }
    EXPECT_LE(this->deaths(), most_deaths);
    auto const problem = nlohmann::json::parse(last, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << last;
    EXPECT_EQ(problem.value("type", ""), "urn:endivehinge:quarantined");
    EXPECT_EQ(problem.value("outcome", ""), "rejected");
    EXPECT_GT(problem.value("retry_after_ms", 0), 0);
}

TEST_F(crashing_request, leaves_the_innocent_ones_served)
{
    for (int i = 0; i < callers_tries; ++i)
    {
        auto const node = static_cast<std::size_t>(i % targets);
        static_cast<void>(this->send(node, "/listings/poison"));
        this->restart_dead_targets();
        // a target may be away for a moment; a repeatable read goes elsewhere
        auto const innocent =
            this->send(node, "/listings/" + std::to_string(i));
        ASSERT_TRUE(innocent.has_value());
        EXPECT_EQ(innocent->status, 200) << innocent->body;
    }
}

} // namespace
} // namespace endivehinge
