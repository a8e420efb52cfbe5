#include <gtest/gtest.h>

#include <endivehinge/detail/http/http_client.hpp>

#include "scripted_server.hpp"

namespace endivehinge::detail
{
namespace
{

constexpr char const * whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\norgan";

class exchange_with : public ::testing::Test
{
protected:
    std::optional<http_response> send(std::uint16_t port,
                                      std::string const & method = "GET")
    {
        http_exchange_options options;
        options.timeout = std::chrono::seconds(5);
        return this->client.exchange({"127.0.0.1", port},
                                     {method, "/hours", {}, {}},
                                     options,
                                     this->report,
                                     this->reason);
    }

    http_client client{http_client_limits()};
    http_exchange_report report;
    failure reason;
};

TEST_F(exchange_with, a_whole_answer_gives_it)
{
    tests::scripted_server const server({{whole}});
    auto const response = this->send(server.port());
    ASSERT_TRUE(response.has_value()) << this->reason.describe();
    EXPECT_EQ(response->body, "organ");
}

struct answer_case
{
    char const * name;
    char const * bytes;
};

class no_answer_from : public exchange_with,
                       public ::testing::WithParamInterface<answer_case>
{
};

TEST_P(no_answer_from, what_is_not_whole)
{
    tests::scripted_server const server({{GetParam().bytes}});
    EXPECT_FALSE(this->send(server.port()).has_value());
    EXPECT_TRUE(this->report.maybe_sent);
    EXPECT_EQ(this->reason.id, failure_id::connection_lost)
        << this->reason.describe();
}

INSTANTIATE_TEST_SUITE_P(
    answers,
    no_answer_from,
    ::testing::Values(
        answer_case{"nothing", ""},
        answer_case{"half_a_head", "HTTP/1.1 200 OK\r\nContent-Le"},
        answer_case{"a_head_only",
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
        answer_case{"half_a_body",
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\norg"},
        answer_case{"a_chunk_without_the_last",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\norgan\r\n"},
        answer_case{"a_body_that_ends_with_the_connection",
                    "HTTP/1.1 200 OK\r\n\r\norgan"}),
    [](auto const & tested)
    {
        return std::string(tested.param.name);
    });

TEST_F(exchange_with, a_kept_connection_that_ends_is_not_sent_again)
{
    for (char const * const method : {"GET", "POST", "DELETE"})
    {
        // the second request reaches a connection that ends without an answer
        tests::scripted_server const server({{whole, ""}, {whole}});
        ASSERT_TRUE(this->send(server.port(), method).has_value());
        EXPECT_FALSE(this->send(server.port(), method).has_value()) << method;
        EXPECT_TRUE(this->report.maybe_sent);
        EXPECT_EQ(server.requests(), 2) << method;
    }
}

TEST_F(exchange_with, nobody_listening_is_known_not_to_be_sent)
{
    std::uint16_t free_port = 0;
    {
        tests::scripted_server const gone({});
        free_port = gone.port();
    }
    EXPECT_FALSE(this->send(free_port).has_value());
    EXPECT_FALSE(this->report.maybe_sent);
    EXPECT_EQ(this->reason.id, failure_id::connect_failed);
}

} // namespace
} // namespace endivehinge::detail
