#include <gtest/gtest.h>

#include <common/control_client.hpp>
#include <common/platform_server.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge
{
namespace
{

// a relay between a client and the platform stand-in's object API
class relay_contract : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        this->platform = tools::platform_server::start(0, reason);
        ASSERT_NE(this->platform, nullptr);
        std::string const programs = ENDIVEHINGE_BINARY_DIRECTORY;
        this->relay = tools::child_process::start(
            {programs + "/relay_stand_in",
             "--to",
             endpoint{"127.0.0.1", this->platform->port()}.to_string()},
            {},
            reason);
        ASSERT_NE(this->relay, nullptr) << reason.describe();
    }

    // the failure of an exchange, none where it was answered
    failure_id send(bool fresh)
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::milliseconds(300);
        options.fresh_connection = fresh;
        detail::http_exchange_report report;
        failure reason;
        static_cast<void>(
            this->client.exchange({"127.0.0.1", this->relay->port("port")},
                                  {"GET", "/objects/k", {}, {}},
                                  options,
                                  report,
                                  reason));
        return reason.id;
    }

    bool change(nlohmann::json const & fields)
    {
        failure reason;
        return tools::control(*this->relay, fields, reason);
    }

    std::unique_ptr<tools::platform_server> platform;
    std::unique_ptr<tools::child_process> relay;
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(relay_contract, it_passes_what_it_gets)
{
    EXPECT_EQ(this->send(false), failure_id::none);
    EXPECT_EQ(this->send(false), failure_id::none);
}

TEST_F(relay_contract, a_cut_link_loses_each_connection)
{
    EXPECT_EQ(this->send(false), failure_id::none);
    ASSERT_TRUE(this->change({{"link", "cut"}}));
    EXPECT_NE(this->send(true), failure_id::none);
    ASSERT_TRUE(this->change({{"link", "pass"}}));
    EXPECT_EQ(this->send(true), failure_id::none);
}

TEST_F(relay_contract, a_silent_link_holds_each_connection)
{
    ASSERT_TRUE(this->change({{"link", "silent"}}));
    EXPECT_EQ(this->send(true), failure_id::timed_out);
    ASSERT_TRUE(this->change({{"link", "pass"}}));
    EXPECT_EQ(this->send(true), failure_id::none);
}

TEST_F(relay_contract, open_connections_go_silent_while_new_ones_work)
{
    EXPECT_EQ(this->send(false), failure_id::none);
    ASSERT_TRUE(this->change({{"silence_open_connections", 1}}));
    EXPECT_EQ(this->send(false), failure_id::timed_out);
    EXPECT_EQ(this->send(true), failure_id::none);
}

TEST_F(relay_contract, a_slow_link_delays_both_ways)
{
    ASSERT_TRUE(this->change({{"delay_ms", 400}}));
    EXPECT_EQ(this->send(true), failure_id::timed_out);
}

} // namespace
} // namespace endivehinge
