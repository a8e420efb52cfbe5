#include <gtest/gtest.h>

#include <string> // string, to_string
#include <vector> // vector

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

void PrintTo(message_text const & message, std::ostream * out)
{
    *out << message.name;
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

} // namespace
} // namespace endivehinge::tests
