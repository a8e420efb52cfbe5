#include <gtest/gtest.h>

#include <algorithm> // count, max
#include <array>     // array
#include <memory>    // make_shared
#include <string>    // string
#include <vector>    // vector

#include <boost/asio/ip/address.hpp>   // make_address
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // write

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

struct stop_case
{
    double grace_s;
    double timeout_s;
    // of a configuration that takes effect during the stop
    double next_timeout_s;
};

/// @brief a client sends requests to a stopping node all the time, and their
/// work takes as long as their route allows
class gateway_stop_acceptance : public ::testing::TestWithParam<stop_case>
{
protected:
    struct sent_request
    {
        std::string id;
        duration sent{0};
        std::shared_ptr<gateway_fleet::client_call> call;
    };

    // the platform excuses what is sent sooner after the signal
    static constexpr milliseconds excused{3000};
    // the work of a request ends this long before the timeout of its route
    static constexpr milliseconds spare{100};

    gateway_stop_acceptance()
    {
        this->fleet.route_timeout_s = GetParam().timeout_s;
        this->fleet.start_members(1, "web");
        // makes the mean run time short
        for (int i = 0; i < 10; ++i)
        {
            static_cast<void>(
                this->fleet.send_and_wait(*this->fleet.members[0],
                                          "/safe/a",
                                          "short-" + std::to_string(i)));
        }
        this->fleet.members[0]->target->request_hook =
            [this](std::shared_ptr<detail::exchange> const & incoming)
        {
            auto const left =
                std::stoi(std::string(incoming->request.at("Deadline-Ms")));
            this->run(incoming, milliseconds(left) - spare);
        };
    }

    void stop()
    {
        auto & node = *this->fleet.members[0]->node;
        node.state.settings.bounds.stop_grace =
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(GetParam().grace_s));
        node.stop(
            [this, &node]
            {
                this->stopped = true;
                node.client_listener.abort();
            });
    }

    /// @brief between requests, of which the target runs ten at a time
    static milliseconds send_interval()
    {
        double const longest =
            std::max(GetParam().timeout_s, GetParam().next_timeout_s);
        return milliseconds(static_cast<int>(1000 * longest / 6));
    }

    void run(std::shared_ptr<detail::exchange> const & incoming,
             duration length)
    {
        auto const timer =
            std::make_shared<asio::steady_timer>(this->fleet.io, length);
        timer->async_wait(
            [this, incoming, timer](boost::system::error_code)
            {
                this->fleet.members[0]->target->respond(*incoming, 200);
            });
    }

    void send_until_stopped()
    {
        auto const began = std::chrono::steady_clock::now();
        bool is_changed = false;
        while (!this->stopped)
        {
            auto const sent = std::chrono::steady_clock::now() - began;
            if (!is_changed && sent > milliseconds(1500))
            {
                is_changed = true;
                this->fleet.route_timeout_s = GetParam().next_timeout_s;
                this->fleet.configure(2, "web");
            }
            auto const id = "late-" + std::to_string(this->requests.size());
            this->requests.push_back(
                {id,
                 sent,
                 this->fleet.send(
                     *this->fleet.members[0], "/safe/a", id, 60000)});
            this->fleet.run_for(send_interval());
        }
        this->fleet.run_for(milliseconds(200));
    }

    gateway_fleet fleet;
    bool stopped = false;
    std::vector<sent_request> requests;
};

// Requests that came later than clients are excused for were accepted since
// their mean run time was short, and broken off before the process ended.
TEST_P(gateway_stop_acceptance, what_is_accepted_later_is_completed)
{
    this->stop();
    this->send_until_stopped();
    double const longest =
        std::max(GetParam().timeout_s, GetParam().next_timeout_s);
    std::size_t completed = 0;
    for (auto const & [id, sent, call] : this->requests)
    {
        auto const status =
            call->result ? call->result->response.result_int() : 0U;
        completed += status == 200 ? 1 : 0;
        auto const sent_s = std::chrono::duration<double>(sent).count();
        if (sent > excused && this->fleet.execution_count(id) > 0)
        {
            EXPECT_EQ(status, 200U) << id << " sent after " << sent_s;
        }
        // accepted as long as it ends in time in the worst case
        if (sent_s + longest + 1.0 < GetParam().grace_s)
        {
            EXPECT_EQ(status, 200U) << id << " sent after " << sent_s;
        }
    }
    EXPECT_GT(completed, 0U);
}

INSTANTIATE_TEST_SUITE_P(cases,
                         gateway_stop_acceptance,
                         ::testing::Values(stop_case{6, 2, 2},
                                           stop_case{7, 1, 3},
                                           stop_case{8, 3, 3},
                                           stop_case{10, 4, 2},
                                           stop_case{13, 5, 5}));

} // namespace
} // namespace endivehinge::tests
