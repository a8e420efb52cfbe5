#include <gtest/gtest.h>

#include <ostream> // ostream
#include <string>  // string, to_string
#include <vector>  // vector

#include <absl/strings/str_cat.h>          // StrCat
#include <boost/asio/buffers_iterator.hpp> // buffers_begin
#include <boost/asio/ip/address.hpp>       // make_address
#include <boost/asio/read.hpp>             // async_read
#include <boost/asio/streambuf.hpp>        // streambuf
#include <boost/asio/write.hpp>            // write

#include "gateway/gateway_fleet.hpp"
#include "gateway/raw_target.hpp"

namespace endivehinge::tests
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// @brief a name and what is sent
struct message_text
{
    char const * name = "";
    std::string text;
};

std::ostream & operator<<(std::ostream & out, message_text const & message)
{
    return out << message.name;
}

std::string name_of(::testing::TestParamInfo<message_text> const & info)
{
    return info.param.name;
}

constexpr char const * own_fields =
    "Server-Stamp: i-0\r\nRequest-Id: {id}\r\nServer-Load: 0,0,10,100\r\n";

std::string with_status(std::string const & status_line)
{
    return absl::StrCat(
        status_line, "\r\n", own_fields, "Content-Length: 2\r\n\r\nok");
}

std::string with_line(std::string const & line)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n",
                        own_fields,
                        line,
                        "\r\nContent-Length: 2\r\n\r\nok");
}

std::string with_coding(std::string const & fields)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n",
                        own_fields,
                        fields,
                        "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
}

/// @brief a node beside a target that sends given bytes
class gateway_response_grammar : public ::testing::TestWithParam<message_text>
{
protected:
    gateway_response_grammar()
    {
        this->fleet.start_members(1, "web");
        auto & own = *this->fleet.members[0]->target;
        own.crash();
        this->target =
            std::make_unique<raw_target>(this->fleet.io, own.address(), own.id);
    }

    detail::call_result send(std::string const & path, std::string const & id)
    {
        return this->fleet.send_and_wait(*this->fleet.members[0], path, id);
    }

    gateway_fleet fleet;
    std::unique_ptr<raw_target> target;
};

// A target in trouble sent bytes that are no response. Clients got them as one.
TEST_P(gateway_response_grammar, invalid_response_is_a_failure_of_the_target)
{
    this->target->response = GetParam().text;
    this->target->end = response_end::close;
    for (int i = 1; i <= 2; ++i)
    {
        auto const result = this->send("/unsafe/a", "id-" + std::to_string(i));
        EXPECT_EQ(result.status, detail::call_status::answered);
        EXPECT_EQ(result.response.result_int(), 502U);
        EXPECT_EQ(result.response["Server-Stamp"], "");
        EXPECT_EQ(this->target->used_connections, static_cast<std::size_t>(i))
            << "its connection was used again";
    }
}

INSTANTIATE_TEST_SUITE_P(
    shapes,
    gateway_response_grammar,
    ::testing::Values(
        message_text{"status_code_000", with_status("HTTP/1.1 000 Odd")},
        message_text{"status_code_001", with_status("HTTP/1.1 001 Odd")},
        message_text{"status_code_099", with_status("HTTP/1.1 099 Odd")},
        message_text{"status_code_600", with_status("HTTP/1.1 600 Odd")},
        message_text{"status_code_999", with_status("HTTP/1.1 999 Odd")},
        message_text{"status_code_of_two_digits",
                     with_status("HTTP/1.1 20 Odd")},
        message_text{"unrequested_switch", with_status("HTTP/1.1 101 Odd")},
        message_text{"interim_status_code_000",
                     "HTTP/1.1 000 Odd\r\n\r\n" +
                         with_status("HTTP/1.1 200 OK")},
        message_text{"field_name_with_a_blank", with_line("X Odd: 1")},
        message_text{"field_name_with_a_tab", with_line("X\tOdd: 1")},
        message_text{"field_name_with_a_control", with_line("X\x01Odd: 1")},
        message_text{"blank_before_the_colon", with_line("X-Odd : 1")},
        message_text{"field_name_that_is_empty", with_line(": 1")},
        message_text{"line_without_a_colon", with_line("X-Odd")},
        message_text{"unknown_coding", with_coding("Transfer-Encoding: bogus")},
        message_text{"identity_coding",
                     with_coding("Transfer-Encoding: identity")},
        message_text{"empty_coding", with_coding("Transfer-Encoding: ")},
        message_text{"chunked_twice",
                     with_coding("Transfer-Encoding: chunked, chunked")},
        message_text{"chunked_twice_in_two_fields",
                     with_coding("Transfer-Encoding: chunked\r\n"
                                 "Transfer-Encoding: chunked")},
        message_text{"chunked_not_last",
                     with_coding("Transfer-Encoding: chunked, gzip")},
        message_text{"coding_that_was_not_asked_for",
                     with_coding("Transfer-Encoding: gzip, chunked")},
        message_text{"coding_beside_a_length",
                     with_coding("Transfer-Encoding: chunked\r\n"
                                 "Content-Length: 2")}),
    name_of);

class gateway_response_end : public gateway_response_grammar
{
protected:
    /// @brief sends uploads that the target answers before it has read them
    /// @return how many of them were answered with 200
    std::size_t
    count_successes(response_end end, int uploads, std::size_t upload_bytes)
    {
        this->target->response = absl::StrCat(
            "HTTP/1.1 200 OK\r\n", own_fields, "\r\n", this->content);
        this->target->end = end;
        this->fleet.upload = std::string(upload_bytes, 'u');
        std::size_t successes = 0;
        for (int i = 0; i < uploads; ++i)
        {
            auto const result =
                this->send("/unsafe/a", "id-" + std::to_string(i));
            bool const is_success = result.response.result_int() == 200;
            successes += is_success ? 1 : 0;
            if (is_success)
            {
                EXPECT_EQ(result.response.body(), this->content);
            }
        }
        return successes;
    }

    std::string const content = std::string(9'600, 'c');
};

// more than the system buffers for a connection, so that the write is pending
constexpr std::size_t long_upload_bytes = 12'000'000;
constexpr std::size_t short_upload_bytes = 900'000;

// The target reset the connection while an upload was being written. The write
// took note of the reset, and the read that followed of an end in order.
TEST_F(gateway_response_end, reset_during_an_upload_completes_no_response)
{
    EXPECT_EQ(this->count_successes(response_end::reset, 20, long_upload_bytes),
              0U);
}

TEST_F(gateway_response_end, end_in_order_after_an_upload_completes_it)
{
    EXPECT_EQ(this->count_successes(response_end::close, 4, short_upload_bytes),
              4U);
}

/// @brief a client that sends given bytes to a node
class gateway_request_grammar : public ::testing::TestWithParam<message_text>
{
protected:
    gateway_request_grammar()
    {
        this->fleet.start_members(1, "web");
    }

    /// @brief sends bytes and reads until the node closes the connection
    std::string exchange_with(endpoint const & address,
                              std::string const & bytes)
    {
        tcp::socket socket(this->fleet.io);
        socket.connect({asio::ip::make_address(address.host), address.port});
        asio::write(socket, asio::buffer(bytes));
        asio::streambuf received;
        bool ended = false;
        asio::async_read(socket,
                         received,
                         [&ended](boost::system::error_code, std::size_t)
                         {
                             ended = true;
                         });
        EXPECT_TRUE(this->fleet.run_until(
            [&ended]
            {
                return ended;
            }));
        auto const data = received.data();
        return {asio::buffers_begin(data), asio::buffers_end(data)};
    }

    gateway_fleet fleet;
};

// The request ran without its body, and the body as a request of its own.
TEST_P(gateway_request_grammar, request_with_an_invalid_coding_does_not_run)
{
    std::string const hidden =
        "POST /unsafe/b HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-2\r\n"
        "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    auto const & settings = this->fleet.members[0]->node->state.settings;
    for (auto const & address :
         {settings.client_listener, settings.peer_listener})
    {
        auto const answer = this->exchange_with(
            address,
            absl::StrCat("POST /unsafe/a ",
                         GetParam().text,
                         "\r\nHost: h.example\r\nRequest-Id: id-1\r\n"
                         "Deadline-Ms: 3000\r\n\r\n",
                         hidden));
        std::string const name = GetParam().name;
        auto const expected = name == "coding_that_is_not_supported"
                                  ? "HTTP/1.1 501 "
                                  : "HTTP/1.1 400 ";
        EXPECT_EQ(answer.rfind(expected, 0), 0U) << answer;
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
        EXPECT_TRUE(this->fleet.members[0]->target->executed_ids.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
    shapes,
    gateway_request_grammar,
    ::testing::Values(
        message_text{"unknown_coding", "HTTP/1.1\r\nTransfer-Encoding: bogus"},
        message_text{"identity_coding",
                     "HTTP/1.1\r\nTransfer-Encoding: identity"},
        message_text{"longer_name", "HTTP/1.1\r\nTransfer-Encoding: xchunked"},
        message_text{"chunked_not_last",
                     "HTTP/1.1\r\nTransfer-Encoding: chunked, gzip"},
        message_text{"chunked_twice",
                     "HTTP/1.1\r\nTransfer-Encoding: chunked, chunked"},
        message_text{"empty_coding", "HTTP/1.1\r\nTransfer-Encoding: "},
        message_text{"unknown_coding_beside_a_length",
                     "HTTP/1.1\r\nTransfer-Encoding: bogus\r\n"
                     "Content-Length: 5"},
        message_text{"chunked_in_an_earlier_version",
                     "HTTP/1.0\r\nTransfer-Encoding: chunked"},
        message_text{"unknown_coding_in_an_earlier_version",
                     "HTTP/1.0\r\nTransfer-Encoding: bogus"},
        message_text{"coding_that_is_not_supported",
                     "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked"},
        message_text{"two_hosts", "HTTP/1.1\r\nHost: other.example"}),
    name_of);

} // namespace
} // namespace endivehinge::tests
