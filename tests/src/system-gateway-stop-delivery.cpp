#include <gtest/gtest.h>

#include <algorithm> // count
#include <array>     // array
#include <string>    // string

#include <boost/asio/ip/address.hpp> // make_address
#include <boost/asio/ip/tcp.hpp>     // tcp
#include <boost/asio/write.hpp>      // write

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// after the platform has learned that the node is not ready
constexpr milliseconds drain_begin(2600);

class gateway_stop_delivery : public ::testing::Test
{
protected:
    gateway_stop_delivery()
    {
        this->fleet.start_members(1, "web");
        auto const & address =
            this->fleet.members[0]->node->state.settings.client_listener;
        this->client.connect(
            {asio::ip::make_address(address.host), address.port});
    }

    void send(std::string const & bytes)
    {
        asio::write(this->client, asio::buffer(bytes));
    }

    void stop()
    {
        this->fleet.members[0]->node->stop(
            [this]
            {
                this->stopped = true;
                // as the end of the process does
                this->fleet.members[0]->node->client_listener.abort();
            });
    }

    /// @brief reads until the connection ends
    [[nodiscard]] std::string receive_all()
    {
        std::string received;
        bool ended = false;
        this->receive(received, ended);
        EXPECT_TRUE(this->fleet.run_until(
            [&ended]
            {
                return ended;
            }));
        return received;
    }

    gateway_fleet fleet;
    tcp::socket client{fleet.io};
    bool stopped = false;

private:
    void receive(std::string & received, bool & ended)
    {
        this->client.async_read_some(
            asio::buffer(this->chunk),
            [this, &received, &ended](boost::system::error_code error,
                                      std::size_t size)
            {
                received.append(this->chunk.data(), size);
                ended = error.failed();
                if (!error)
                {
                    this->receive(received, ended);
                }
            });
    }

    std::array<char, 4096> chunk{};
};

// The process ended as soon as no request was pending, although the body of one
// was still on its way.
TEST_F(gateway_stop_delivery, waits_for_a_request_that_is_being_received)
{
    this->send("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-1\r\nDeadline-Ms: 4000\r\n"
               "Content-Length: 4\r\n\r\nbo");
    this->fleet.run_for(milliseconds(20));
    this->stop();
    this->fleet.run_for(drain_begin);
    EXPECT_FALSE(this->stopped);
    this->send("dy");
    EXPECT_NE(this->receive_all().find("from i-0"), std::string::npos);
    EXPECT_EQ(this->fleet.execution_count("id-1"), 1U);
    this->client.close();
    EXPECT_TRUE(this->fleet.run_until(
        [this]
        {
            return this->stopped;
        }));
}

// The process ended while responses of its target were in the system's buffers;
// the next pipelined request reset the connection.
TEST_F(gateway_stop_delivery, delivers_responses_to_a_pipelining_client)
{
    constexpr std::size_t body_bytes = 1000000;
    this->fleet.members[0]->target->extra_body = std::string(body_bytes, 'x');
    this->stop();
    this->fleet.run_for(drain_begin - milliseconds(400));
    this->send("GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-1\r\nDeadline-Ms: 1000\r\n\r\n");
    EXPECT_TRUE(this->fleet.run_until(
        [this]
        {
            auto const & node = *this->fleet.members[0]->node;
            return this->fleet.execution_count("id-1") == 1 &&
                   node.client_listener.pending_count() == 0;
        }));
    this->fleet.run_for(milliseconds(800));
    EXPECT_FALSE(this->stopped);
    this->send("GET /safe/b HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-2\r\nDeadline-Ms: 1000\r\n\r\n");
    auto const received = this->receive_all();
    EXPECT_EQ(std::count(received.begin(), received.end(), 'x'),
              static_cast<std::ptrdiff_t>(body_bytes));
    EXPECT_EQ(this->fleet.execution_count("id-2"), 0U);
}

// Responses that a target had completed were lost behind a longer one of the
// same pipelining client when the process ended.
TEST_F(gateway_stop_delivery, completed_response_behind_a_longer_one_is_sent)
{
    this->fleet.members[0]->target->request_hook =
        [this](std::shared_ptr<detail::exchange> const & incoming)
    {
        if (incoming->request.target() != "/safe/long")
        {
            this->fleet.members[0]->target->respond(*incoming, 200);
        }
    };
    this->fleet.route_timeout_s = 8.0;
    this->fleet.configure(2, "web");
    this->fleet.run_for(milliseconds(300));
    this->stop();
    this->fleet.run_for(milliseconds(500));
    this->send("GET /safe/long HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-1\r\nDeadline-Ms: 8000\r\n\r\n"
               "GET /safe/short HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-2\r\nDeadline-Ms: 8000\r\n\r\n");
    auto const received = this->receive_all();
    EXPECT_EQ(this->fleet.execution_count("id-1"), 1U);
    EXPECT_EQ(this->fleet.execution_count("id-2"), 1U);
    EXPECT_NE(received.find("from i-0"), std::string::npos);
    EXPECT_LT(received.find(" 502 "), received.find(" 200 "));
}

// A request whose body did not arrive was cut without an answer.
TEST_F(gateway_stop_delivery, refuses_a_request_that_does_not_arrive_in_time)
{
    this->send("POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: id-1\r\nDeadline-Ms: 8000\r\n"
               "Content-Length: 4\r\n\r\nbo");
    this->fleet.run_for(milliseconds(20));
    this->stop();
    EXPECT_NE(this->receive_all().find(" 408 "), std::string::npos);
    EXPECT_EQ(this->fleet.execution_count("id-1"), 0U);
}

} // namespace
} // namespace endivehinge::tests
