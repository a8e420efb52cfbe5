#include <csignal> // SIGTERM

#include <gtest/gtest.h>

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
    depends_on: [archive]
    routes:
      - {method: GET, path: /listings/, repeatable: true}
  - name: archive
    deadline_ms: 2000
)";

class request_path : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        ASSERT_TRUE(this->deployment.start_platform(configuration_text, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.start_instance(
            {"listings-1", "listings", "almaty-a", {}}, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.start_instance(
            {"archive-1", "archive", "almaty-b", {}}, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(10)));
    }

    std::optional<http_response> send(std::size_t node,
                                      http_request const & message)
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(5);
        detail::http_exchange_report report;
        failure reason;
        return this->client.exchange(
            this->deployment.ingress(node), message, options, report, reason);
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(request_path, a_request_for_the_local_target_is_answered)
{
    auto const response =
        this->send(0, {"GET", "/listings/today?hall=1", {}, {}});
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "GET /listings/today?hall=1\n");
    EXPECT_EQ(*response->headers.find(header_names::outcome), "answered");
}

TEST_F(request_path, a_request_for_another_service_goes_through_its_node)
{
    auto const response = this->send(0, {"POST", "/archive/add", {}, "organ"});
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "POST /archive/add\norgan");
}

TEST_F(request_path, a_service_that_is_not_configured_is_refused)
{
    auto const response = this->send(0, {"GET", "/unknown/", {}, {}});
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(*response->headers.find(header_names::outcome), "rejected");
}

TEST_F(request_path, a_stopped_node_ends_without_error)
{
    this->deployment.instance(0).node->signal(SIGTERM);
    EXPECT_EQ(this->deployment.instance(0).node->wait(absl::Seconds(20)), 0);
}

} // namespace
} // namespace endivehinge
