#include <fstream> // ifstream
#include <memory>  // unique_ptr
#include <random>  // mt19937
#include <string>  // string
#include <vector>  // vector

#include <gtest/gtest.h>

#include <absl/strings/match.h>   // StartsWith
#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // SleepFor

#include <common/local_deployment.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/http/http_server.hpp>

#include "raw_connection.hpp"
#include "temporary_folder.hpp"

namespace endivehinge
{
namespace
{

constexpr char const * configuration_text = R"(
services:
  - name: booking
    deadline_ms: 1000
)";

constexpr char const * http_ports[] = {"ingress", "peers", "admin"};
constexpr char const * all_ports[] = {"ingress", "peers", "admin", "control"};
constexpr std::size_t kilobyte = 1024;

// a body in parts of a megabyte, above every bound on bodies
constexpr int large_parts = 12;

struct input_case
{
    char const * name;
    std::string bytes;
};

std::string garbage(std::size_t size)
{
    std::mt19937 random(7);
    std::string bytes(size, '\0');
    for (auto & byte : bytes)
    {
        byte = static_cast<char>(random());
    }
    return bytes;
}

std::string many_headers(int count)
{
    std::string text = "GET /booking/x HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < count; ++i)
    {
        absl::StrAppend(&text, "X-", i, ": ", i, "\r\n");
    }
    return text + "\r\n";
}

std::string large_chunked_body()
{
    std::string text = "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    std::string const part(kilobyte * kilobyte, 'x');
    for (int i = 0; i < large_parts; ++i)
    {
        absl::StrAppend(&text, "100000\r\n", part, "\r\n");
    }
    return text + "0\r\n\r\n";
}

std::string with_header(std::string const & header)
{
    return "POST /booking/x HTTP/1.1\r\nHost: a\r\n" + header +
           "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
}

std::string hop_with(std::string const & header)
{
    return with_header("Endivehinge-Role: run\r\n"
                       "Endivehinge-Request-Id: n-1\r\n"
                       "Endivehinge-Service: booking\r\n" +
                       header);
}

std::string announcement(std::string const & body)
{
    return absl::StrCat("POST /v1/announce HTTP/1.1\r\nHost: a\r\n"
                        "Connection: close\r\nContent-Length: ",
                        body.size(),
                        "\r\n\r\n",
                        body);
}

// no port may answer any of these with success
std::vector<input_case> malformed_cases()
{
    return {
        {"nothing", ""},
        {"garbage", garbage(4 * kilobyte)},
        {"much garbage", garbage(512 * kilobyte)},
        {"zeros", std::string(4 * kilobyte, '\0')},
        {"blank lines", "\r\n\r\n\r\n\r\n"},
        {"a word", "GET"},
        {"no version", "GET /booking/x\r\n\r\n"},
        {"unknown version", "GET /booking/x HTTP/9.9\r\nHost: a\r\n\r\n"},
        {"a TLS greeting", std::string("\x16\x03\x01\x02\x00\x01", 6)},
        {"half a head", "GET /booking/x HTTP/1.1\r\nHost: a\r\nX-"},
        {"an endless line", std::string(512 * kilobyte, 'x')},
        {"a path too long",
         "GET /" + std::string(64 * kilobyte, 'x') +
             " HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"a header too long",
         "GET /booking/x HTTP/1.1\r\nHost: a\r\nX: " +
             std::string(64 * kilobyte, 'x') + "\r\n\r\n"},
        {"too many headers", many_headers(20000)},
        {"a negative length",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: -1\r\n\r\n"},
        {"a length that is no number",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: two\r\n\r\nab"},
        {"a length above the bound",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: 99999999999\r\n\r\nab"},
        {"a length above 64 bits",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: 99999999999999999999999\r\n\r\nab"},
        {"less than its length",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: 100\r\n\r\nab"},
        {"a chunk size that is no number",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"},
        {"half a chunk",
         "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
         "Transfer-Encoding: chunked\r\n\r\n10\r\nab"},
        {"a body above the bound in chunks", large_chunked_body()},
    };
}

// well formed, with fields that make no sense to this project
std::vector<input_case> odd_cases()
{
    return {
        {"timeout text", with_header("Endivehinge-Timeout-Ms: soon")},
        {"timeout negative", with_header("Endivehinge-Timeout-Ms: -5")},
        {"timeout of 64 bits",
         with_header("Endivehinge-Timeout-Ms: 9223372036854775807")},
        {"depth of 32 bits", with_header("Endivehinge-Depth: 2147483647")},
        {"depth negative", with_header("Endivehinge-Depth: -1")},
        {"priority", with_header("Priority: u=99, i, ,,=")},
        {"key empty", with_header("Idempotency-Key:")},
        {"key long",
         with_header("Idempotency-Key: " + std::string(16 * kilobyte, 'k'))},
        {"key of odd bytes", with_header("Idempotency-Key: \x01\xff\xfe")},
        {"role unknown", with_header("Endivehinge-Role: king")},
        {"hop timeout of 64 bits",
         hop_with("Endivehinge-Timeout-Ms: 9223372036854775807")},
        {"hop timeout negative",
         hop_with("Endivehinge-Timeout-Ms: -9223372036854775808")},
        {"hop epoch text",
         hop_with("Endivehinge-Timeout-Ms: 50\r\nEndivehinge-Epoch: x")},
        {"announcement of garbage", announcement(garbage(kilobyte))},
        {"announcement of numbers", announcement(R"({"phase":1,"run":"x"})")},
        {"announcement of another host",
         announcement(R"({"phase":"ready","address":"name:1","slots":-1,)"
                      R"("connections":1,"run":1})")},
        {"announcement deep in brackets",
         announcement(std::string(100 * kilobyte, '['))},
    };
}

class bad_input : public ::testing::Test
{
protected:
    void SetUp() override
    {
        failure reason;
        ASSERT_TRUE(this->deployment.start_platform(configuration_text, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.start_instance(
            {"booking-1", "booking", "a", {}}, reason))
            << reason.describe();
        ASSERT_TRUE(this->deployment.wait_until_joined(absl::Seconds(20)));
    }

    std::uint16_t port(char const * name)
    {
        return this->node().port(name);
    }

    tools::child_process & node()
    {
        return *this->deployment.instance(0).node;
    }

    // sends, closes its half, and gives the answer
    std::string send(char const * to, std::string const & bytes)
    {
        tests::raw_connection const connection(this->port(to));
        EXPECT_TRUE(connection.is_connected()) << to;
        connection.send(bytes);
        connection.half_close();
        std::string reply;
        EXPECT_TRUE(connection.read_until_closed(reply)) << to << " holds it";
        return reply;
    }

    bool serves()
    {
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(10);
        detail::http_exchange_report report;
        failure reason;
        auto const response =
            this->client.exchange(this->deployment.ingress(0),
                                  {"POST", "/booking/x", {}, "organ"},
                                  options,
                                  report,
                                  reason);
        return response.has_value() && response->status == 200 &&
               response->body == "POST /booking/x\norgan";
    }

    std::size_t resident_kilobytes()
    {
        std::ifstream status(
            absl::StrCat("/proc/", this->node().id(), "/status"));
        std::string word;
        while (status >> word)
        {
            if (word == "VmRSS:")
            {
                std::size_t value = 0;
                status >> value;
                return value;
            }
        }
        return 0;
    }

    tests::temporary_folder folder;
    tools::local_deployment deployment{ENDIVEHINGE_BINARY_DIRECTORY,
                                       this->folder.path()};
    detail::http_client client{detail::http_client_limits()};
};

TEST_F(bad_input, a_malformed_request_gets_an_error_or_a_closed_connection)
{
    for (auto const & one : malformed_cases())
    {
        for (char const * const port : http_ports)
        {
            std::string const reply = this->send(port, one.bytes);
            EXPECT_TRUE(reply.empty() ||
                        absl::StartsWith(reply, "HTTP/1.1 4") ||
                        absl::StartsWith(reply, "HTTP/1.1 5"))
                << one.name << " at " << port << ": " << reply.substr(0, 80);
        }
        EXPECT_TRUE(this->serves()) << "after " << one.name;
    }
}

TEST_F(bad_input, a_field_that_makes_no_sense_leaves_the_node_serving)
{
    for (auto const & one : odd_cases())
    {
        for (char const * const port : http_ports)
        {
            std::string const reply = this->send(port, one.bytes);
            EXPECT_TRUE(absl::StartsWith(reply, "HTTP/1.1 "))
                << one.name << " at " << port;
        }
        EXPECT_TRUE(this->serves()) << "after " << one.name;
    }
}

TEST_F(bad_input, garbage_at_the_control_port_leaves_the_node_serving)
{
    std::string const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    std::vector<std::string> inputs = {
        "", "GET / HTTP/1.1\r\n\r\n", preface, preface + garbage(kilobyte)};
    for (auto const & one : malformed_cases())
    {
        inputs.push_back(one.bytes);
    }
    int const datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    auto const remote = tests::raw_connection::loopback(this->port("control"));
    for (auto const & bytes : inputs)
    {
        static_cast<void>(this->send("control", bytes));
        ::sendto(datagrams,
                 bytes.data(),
                 std::min(bytes.size(), 60 * kilobyte),
                 0,
                 reinterpret_cast<sockaddr const *>(&remote),
                 sizeof(remote));
    }
    ::close(datagrams);
    EXPECT_TRUE(this->serves());
}

TEST_F(bad_input, slow_senders_leave_room_for_others)
{
    std::string const head = "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 1000\r\n\r\n";
    std::vector<std::unique_ptr<tests::raw_connection>> slow;
    for (char const * const port : all_ports)
    {
        for (int i = 0; i < 100; ++i)
        {
            slow.push_back(
                std::make_unique<tests::raw_connection>(this->port(port)));
            ASSERT_TRUE(slow.back()->is_connected());
        }
    }
    for (char const letter : head)
    {
        for (auto const & connection : slow)
        {
            connection->send(std::string(1, letter));
        }
        ASSERT_TRUE(this->serves());
    }
}

TEST_F(bad_input, a_timeout_above_the_configured_one_is_the_configured_one)
{
    for (char const * const timeout :
         {"1001", "3600000", "9223372036854", "9223372036854775807"})
    {
        std::string const reply = this->send(
            "ingress",
            with_header(absl::StrCat("Endivehinge-Timeout-Ms: ", timeout)));
        EXPECT_TRUE(absl::StartsWith(reply, "HTTP/1.1 200")) << timeout;
    }
}

TEST_F(bad_input, a_caller_that_closes_half_still_gets_its_answer)
{
    std::string const reply =
        this->send("ingress",
                   "POST /booking/x HTTP/1.1\r\nHost: a\r\n"
                   "Content-Length: 5\r\n\r\norgan");
    EXPECT_TRUE(absl::StartsWith(reply, "HTTP/1.1 200")) << reply;
}

// what all connections of a server may hold, and one body of each
TEST_F(bad_input, memory_stays_bounded)
{
    detail::http_server_limits const limits;
    std::size_t const bound_kilobytes =
        std::size(http_ports) *
        (limits.connections * limits.header_bytes + limits.body_bytes) /
        kilobyte;
    auto const cases = malformed_cases();
    auto const round = [this, &cases]()
    {
        for (auto const & one : cases)
        {
            for (char const * const port : http_ports)
            {
                static_cast<void>(this->send(port, one.bytes));
            }
        }
    };
    round();
    std::size_t const before = this->resident_kilobytes();
    for (int i = 0; i < 20; ++i)
    {
        round();
    }
    EXPECT_LT(this->resident_kilobytes(), before + bound_kilobytes);
    EXPECT_TRUE(this->serves());
}

} // namespace
} // namespace endivehinge
