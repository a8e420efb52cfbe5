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

constexpr int target_count = 4;
constexpr int request_attempts = 12;
// The first crash makes a request suspect, the second one quarantines it; one
// more node may run it before the crash report arrives there.
constexpr std::size_t max_crashes = 3;

// Each target crashes on a request whose path contains "poison"; the test then
// restarts it.
class crashing_request : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        this->deployment.write_history(this->history_path());
        ASSERT_TRUE(this->deployment.start_platform(configuration_text, reason))
            << reason.describe();
        for (int i = 0; i < target_count; ++i)
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

    std::string history_path() const
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

    void restart_crashed_targets()
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

    std::size_t crash_count() const
    {
        std::size_t count = 0;
        for (auto const & record : tools::read_history(this->history_path()))
        {
            count += record.event == tools::history_event::died ? 1 : 0;
        }
        return count;
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(crashing_request, crashes_few_targets_before_it_is_rejected)
{
    std::string last_body;
    for (int i = 0; i < request_attempts; ++i)
    {
        auto const response = this->send(
            static_cast<std::size_t>(i % target_count), "/listings/poison");
        ASSERT_TRUE(response.has_value());
        EXPECT_NE(response->status, 200);
        last_body = response->body;
        this->restart_crashed_targets();
    }
    EXPECT_LE(this->crash_count(), max_crashes);
    auto const problem = nlohmann::json::parse(last_body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << last_body;
    EXPECT_EQ(problem.value("type", ""), "urn:endivehinge:quarantined");
    EXPECT_EQ(problem.value("outcome", ""), "rejected");
    EXPECT_GT(problem.value("retry_after_ms", 0), 0);
}

TEST_F(crashing_request, does_not_prevent_other_requests)
{
    for (int i = 0; i < request_attempts; ++i)
    {
        auto const node = static_cast<std::size_t>(i % target_count);
        static_cast<void>(this->send(node, "/listings/poison"));
        this->restart_crashed_targets();
        // while a target restarts, an idempotent request is sent to another one
        auto const harmless_response =
            this->send(node, "/listings/" + std::to_string(i));
        ASSERT_TRUE(harmless_response.has_value());
        EXPECT_EQ(harmless_response->status, 200) << harmless_response->body;
    }
}

} // namespace
} // namespace endivehinge
