#include <cstdio>  // popen, pclose, fgets
#include <fstream> // ofstream
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <csignal>    // SIGKILL
#include <sys/wait.h> // WEXITSTATUS

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <common/control_client.hpp>
#include <common/local_deployment.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>

#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

using ::testing::HasSubstr;

constexpr char const * first_text = R"(
services:
  - name: listings
    deadline_ms: 2000
)";

constexpr char const * second_text = R"(
services:
  - name: listings
    deadline_ms: 1500
    depends_on: [archive]
  - name: archive
)";

struct command_end
{
    int code = -1;
    std::string output;
};

class operators : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        ASSERT_TRUE(this->deployment.start_platform(first_text, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.start_instance(
            {"listings-1", "listings", "almaty-a", {}}, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.start_instance(
            {"listings-2", "listings", "almaty-b", {}}, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(20)));
    }

    command_end run(std::string const & arguments) const
    {
        std::string const line = std::string(ENDIVEHINGE_BINARY_DIRECTORY) +
                                 "/endivehinge " + arguments + " 2>&1";
        command_end end;
        FILE * const pipe = ::popen(line.c_str(), "r");
        char part[256];
        while (std::fgets(part, sizeof part, pipe) != nullptr)
        {
            end.output += part;
        }
        end.code = WEXITSTATUS(::pclose(pipe));
        return end;
    }

    std::string to_platform() const
    {
        return " --platform " + this->deployment.platform_address().to_string();
    }

    std::string to_nodes()
    {
        std::string text;
        for (std::size_t i = 0; i < this->deployment.size(); ++i)
        {
            text += " --node 127.0.0.1:" +
                    std::to_string(
                        this->deployment.instance(i).node->port("admin"));
        }
        return text;
    }

    std::string write(std::string const & name, std::string const & text) const
    {
        std::string path = this->folder.path() + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
};

TEST_F(operators, a_configuration_is_applied_and_in_force_at_every_node)
{
    auto const applied = this->run("apply --wait --configuration " +
                                   this->write("mesh.yaml", second_text) +
                                   this->to_platform() + this->to_nodes());
    EXPECT_EQ(applied.code, 0) << applied.output;
    EXPECT_THAT(applied.output, HasSubstr("changed service.archive"));
    EXPECT_THAT(applied.output, HasSubstr("behind: none"));
    auto const again =
        this->run("apply --configuration " + this->folder.path() +
                  "/mesh.yaml" + this->to_platform());
    EXPECT_EQ(again.code, 0);
    EXPECT_THAT(again.output, HasSubstr("nothing to change"));
}

TEST_F(operators, a_faulty_text_changes_nothing)
{
    auto const refused = this->run("apply --configuration " +
                                   this->write("mesh.yaml",
                                               "services:\n  - name: listings\n"
                                               "    depends_on: [archive]\n") +
                                   this->to_platform());
    EXPECT_EQ(refused.code, 2);
    EXPECT_THAT(refused.output, HasSubstr("mesh.yaml:3: services[0]"));
    auto const checked = this->run("check --configuration " +
                                   this->folder.path() + "/mesh.yaml");
    EXPECT_EQ(checked.code, 2);
    auto const good = this->run("check --configuration " +
                                this->write("good.yaml", first_text));
    EXPECT_EQ(good.code, 0) << good.output;
    auto const same = this->run("apply --configuration " + this->folder.path() +
                                "/good.yaml" + this->to_platform());
    EXPECT_THAT(same.output, HasSubstr("nothing to change"));
}

TEST_F(operators, a_drain_is_in_force_and_undone)
{
    auto const drained = this->run("drain --wait --failure-domain almaty-a" +
                                   this->to_platform() + this->to_nodes());
    EXPECT_EQ(drained.code, 0) << drained.output;
    EXPECT_THAT(drained.output, HasSubstr("listings keeps 1 of 2 targets"));
    auto const status = this->run("status" + this->to_nodes());
    EXPECT_EQ(status.code, 0);
    EXPECT_THAT(status.output, HasSubstr("drained"));
    auto const last = this->run("drain --target listings-2" +
                                this->to_platform() + this->to_nodes());
    EXPECT_EQ(last.code, 7) << last.output;
    auto const back = this->run("undrain --wait --failure-domain almaty-a" +
                                this->to_platform() + this->to_nodes());
    EXPECT_EQ(back.code, 0) << back.output;
    EXPECT_THAT(this->run("status" + this->to_nodes()).output,
                ::testing::Not(HasSubstr("drained")));
}

TEST_F(operators, that_race_never_write_over_one_another_unseen)
{
    std::vector<command_end> ends(8);
    std::vector<std::thread> racing;
    for (std::size_t i = 0; i < ends.size(); ++i)
    {
        racing.emplace_back(
            [this, &ends, i]()
            {
                ends[i] =
                    this->run("drain --force --target listings-1 --operator o" +
                              std::to_string(i) + this->to_platform());
            });
    }
    for (auto & one : racing)
    {
        one.join();
    }
    int accepted = 0;
    for (auto const & end : ends)
    {
        bool const won = end.output.find("accepted") != std::string::npos;
        bool const late = end.output.find("nothing to") != std::string::npos;
        accepted += won ? 1 : 0;
        EXPECT_EQ(end.code, won || late ? 0 : 4) << end.output;
        if (end.code == 4)
        {
            EXPECT_THAT(end.output, HasSubstr("came first and drained it"));
        }
    }
    EXPECT_EQ(accepted, 1);
}

TEST_F(operators, are_told_when_the_platform_is_away_and_nothing_reverts)
{
    auto const drained = this->run("drain --wait --failure-domain almaty-a" +
                                   this->to_platform() + this->to_nodes());
    ASSERT_EQ(drained.code, 0) << drained.output;
    this->deployment.platform().signal(SIGKILL);
    ASSERT_TRUE(this->deployment.platform().wait(absl::Seconds(10)));
    auto const refused =
        this->run("undrain --failure-domain almaty-a" + this->to_platform());
    EXPECT_EQ(refused.code, 1) << refused.output;
    auto const status = this->run("status" + this->to_nodes());
    EXPECT_EQ(status.code, 0) << status.output;
    EXPECT_THAT(status.output, HasSubstr("drained"));
}

TEST_F(operators, are_told_the_truth_where_the_answer_to_a_write_is_lost)
{
    failure reason;
    ASSERT_TRUE(tools::control(
        this->deployment.platform(), {{"lost_write_answers", 1}}, reason))
        << reason.describe();
    auto const drained = this->run("drain --force --wait --target listings-1" +
                                   this->to_platform() + this->to_nodes());
    EXPECT_EQ(drained.code, 0) << drained.output;
    EXPECT_THAT(drained.output, HasSubstr("accepted as version"));
}

TEST_F(operators, do_not_see_a_change_revert_where_the_platform_is_stale)
{
    auto const at = " --failure-domain almaty-a" + this->to_platform();
    ASSERT_EQ(this->run("drain" + at).code, 0);
    ASSERT_EQ(this->run("undrain --wait" + at + this->to_nodes()).code, 0);
    failure reason;
    ASSERT_TRUE(tools::control(
        this->deployment.platform(), {{"stale_versions", 1}}, reason));
    ASSERT_TRUE(this->deployment.start_instance(
        {"listings-3", "listings", "almaty-c", {}}, reason))
        << reason.describe();
    ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(30)));
    auto const status = this->run("status" + this->to_nodes());
    EXPECT_THAT(status.output, ::testing::Not(HasSubstr("drained")));
    EXPECT_THAT(status.output, ::testing::Not(HasSubstr("not yet in force")));
}

TEST_F(operators, see_metrics_and_burn)
{
    detail::http_client client{detail::http_client_limits()};
    detail::http_exchange_options options;
    options.timeout = std::chrono::seconds(5);
    detail::http_exchange_report report;
    failure reason;
    ASSERT_TRUE(client.exchange(this->deployment.ingress(0),
                                {"GET", "/listings/today", {}, {}},
                                options,
                                report,
                                reason));
    auto const page = client.exchange(
        {"127.0.0.1", this->deployment.instance(0).node->port("admin")},
        {"GET", "/metrics", {}, {}},
        options,
        report,
        reason);
    ASSERT_TRUE(page.has_value());
    EXPECT_THAT(page->body, HasSubstr("outcome=\"answered\"} 1\n"));
    EXPECT_THAT(page->body, HasSubstr("endivehinge_target_limit "));
    auto const burn = this->run("burn" + this->to_nodes());
    EXPECT_EQ(burn.code, 0);
    EXPECT_THAT(burn.output, HasSubstr("listings: 0.999 within 250 ms"));
    EXPECT_THAT(burn.output, HasSubstr("1 requests"));
    EXPECT_EQ(this->run("burn").code, 2);
    EXPECT_EQ(this->run("version").code, 0);
    EXPECT_EQ(this->run("help").code, 0);
    EXPECT_EQ(this->run("unknown").code, 2);
    EXPECT_EQ(this->run("").code, 2);
    EXPECT_EQ(this->run("node").code, 2);
    EXPECT_EQ(this->run("status --node 127.0.0.1:1").code, 1);
}

} // namespace
} // namespace endivehinge
