#include <atomic> // atomic
#include <string> // string, to_string
#include <thread> // thread
#include <vector> // vector

#include <absl/time/clock.h> // Now, SleepFor
#include <gtest/gtest.h>
#include <nlohmann/json.hpp> // json

#include <common/control_client.hpp>
#include <common/local_deployment.hpp>
#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/commands/configuration_editor.hpp>
#include <endivehinge/detail/commands/platform_session.hpp>
#include <endivehinge/detail/commands/rollout_check.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

constexpr char const * configuration_text = R"(
services:
  - name: listings
    deadline_ms: 4000
)";
constexpr std::size_t domains = 3;
constexpr std::size_t targets_per_domain = 2;
constexpr std::size_t callers = 6;
// the brief: no new work after a few seconds
constexpr absl::Duration few_seconds = absl::Seconds(3);

// callers that send one request after another until they are told to stop
class steady_load
{
public:
    explicit steady_load(std::vector<endpoint> entries)
        : ingresses(std::move(entries))
    {
        for (std::size_t i = 0; i < callers; ++i)
        {
            this->threads.emplace_back(&steady_load::call, this, i);
        }
    }

    ~steady_load()
    {
        this->stop();
    }

    void stop()
    {
        this->stopping = true;
        for (auto & one : this->threads)
        {
            if (one.joinable())
            {
                one.join();
            }
        }
    }

    std::atomic<int> answered{0};
    std::atomic<int> rejected{0};
    std::atomic<int> other{0};

private:
    void call(std::size_t caller)
    {
        detail::http_client client{detail::http_client_limits()};
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(10);
        for (std::size_t i = caller; !this->stopping; ++i)
        {
            detail::http_exchange_report report;
            failure reason;
            auto const response =
                client.exchange(this->ingresses[i % this->ingresses.size()],
                                {"POST", "/listings/file", {}, "bach"},
                                options,
                                report,
                                reason);
            this->count(response);
        }
    }

    void count(std::optional<http_response> const & response)
    {
        std::string const * const outcome =
            response.has_value() ? response->headers.find(header_names::outcome)
                                 : nullptr;
        bool const whole = outcome != nullptr && *outcome == "answered" &&
                           response->body.find("bach") != std::string::npos;
        bool const refused = outcome != nullptr && *outcome == "rejected";
        this->answered += whole ? 1 : 0;
        this->rejected += refused ? 1 : 0;
        this->other += whole || refused ? 0 : 1;
    }

    std::vector<endpoint> ingresses;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

class draining : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        ASSERT_TRUE(this->deployment.start_platform(configuration_text, reason))
            << reason.describe();
        for (std::size_t i = 0; i < domains * targets_per_domain; ++i)
        {
            ASSERT_TRUE(this->deployment.start_instance(
                {"listings-" + std::to_string(i),
                 "listings",
                 "almaty-" + std::to_string(i % domains),
                 {"--service_us", "5000"}},
                reason))
                << reason.describe();
        }
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(40)));
    }

    std::vector<endpoint> ingresses() const
    {
        std::vector<endpoint> all;
        for (std::size_t i = 0; i < this->deployment.size(); ++i)
        {
            all.push_back(this->deployment.ingress(i));
        }
        return all;
    }

    std::vector<endpoint> admin_ports()
    {
        std::vector<endpoint> all;
        for (std::size_t i = 0; i < this->deployment.size(); ++i)
        {
            all.push_back({"127.0.0.1",
                           this->deployment.instance(i).node->port("admin")});
        }
        return all;
    }

    // of the targets in one failure domain
    int started_in(std::size_t domain)
    {
        int started = 0;
        for (std::size_t i = domain; i < this->deployment.size(); i += domains)
        {
            started += tools::read_report(*this->deployment.instance(i).target)
                           .at("started")
                           .get<int>();
        }
        return started;
    }

    object_version set_drained(bool drained)
    {
        detail::platform_session session(this->deployment.platform_address(),
                                         "test");
        detail::edit_result done;
        failure reason;
        EXPECT_TRUE(session.editor().set_drained(
            entry_subject::domain, "almaty-0", drained, done, reason))
            << reason.describe();
        return done.version;
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
};

TEST_F(draining, a_failure_domain_leaves_and_returns_and_nothing_is_cut)
{
    steady_load load(this->ingresses());
    absl::SleepFor(absl::Seconds(1));
    ASSERT_GT(this->started_in(0), 0);

    static_cast<void>(this->set_drained(true));
    absl::SleepFor(few_seconds);
    int const before = this->started_in(0);
    int const elsewhere = this->started_in(1);
    absl::SleepFor(absl::Seconds(2));
    EXPECT_EQ(this->started_in(0), before);
    EXPECT_GT(this->started_in(1), elsewhere);

    detail::rollout_check check(this->admin_ports());
    EXPECT_TRUE(check.wait(this->set_drained(false), std::chrono::seconds(14)));
    absl::Time const deadline = absl::Now() + absl::Seconds(30);
    while (this->started_in(0) == before && absl::Now() < deadline)
    {
        absl::SleepFor(absl::Milliseconds(50));
    }
    EXPECT_GT(this->started_in(0), before);
    load.stop();
    EXPECT_GT(load.answered.load(), 0);
    EXPECT_EQ(load.rejected.load(), 0);
    EXPECT_EQ(load.other.load(), 0);
}

TEST_F(draining, holds_while_the_platform_is_away)
{
    detail::rollout_check check(this->admin_ports());
    ASSERT_TRUE(check.wait(this->set_drained(true), std::chrono::seconds(14)));
    failure reason;
    ASSERT_TRUE(tools::control(
        this->deployment.platform(), {{"outage", "refuse"}}, reason));
    steady_load load(this->ingresses());
    int const before = this->started_in(0);
    absl::SleepFor(absl::Seconds(5));
    EXPECT_EQ(this->started_in(0), before);
    load.stop();
    EXPECT_GT(load.answered.load(), 0);
    EXPECT_EQ(load.rejected.load(), 0);
    EXPECT_EQ(load.other.load(), 0);
}

} // namespace
} // namespace endivehinge
