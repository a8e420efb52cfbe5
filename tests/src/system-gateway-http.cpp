#include <gtest/gtest.h>

#include <malloc.h> // mallinfo2

#include <algorithm> // count
#include <deque>     // deque
#include <optional>  // optional

#include <boost/asio/read_until.hpp> // async_read_until
#include <boost/asio/streambuf.hpp>  // streambuf
#include <boost/asio/write.hpp>      // write

#include <endivehinge/detail/gateway/http_listener.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr duration wait_limit = std::chrono::seconds(20);

time_point now()
{
    return std::chrono::steady_clock::now();
}

bool run_until(asio::io_context & io, std::function<bool()> const & condition)
{
    auto const end = now() + wait_limit;
    while (!condition())
    {
        if (now() > end)
        {
            return false;
        }
        io.run_one_for(milliseconds(5));
    }
    return true;
}

// ---------------------------------------------------------------------------
// client connections against a scripted server
// ---------------------------------------------------------------------------

/// @brief server that sends scripted bytes after each request header
class scripted_server
{
public:
    struct reply
    {
        std::string bytes;
        bool close = false;
        bool reset = false;
    };

    scripted_server(asio::io_context & loop, std::deque<reply> script)
        : acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
        , replies(std::move(script))
    {
        this->accept();
    }

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::size_t accepted = 0;

private:
    struct peer
    {
        explicit peer(tcp::socket accepted_socket)
            : socket(std::move(accepted_socket))
        {
        }

        tcp::socket socket;
        asio::streambuf buffer;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    this->accepted += 1;
                    this->read(std::make_shared<peer>(std::move(socket)));
                    this->accept();
                }
            });
    }

    void read(std::shared_ptr<peer> const & connected_peer)
    {
        asio::async_read_until(
            connected_peer->socket,
            connected_peer->buffer,
            "\r\n\r\n",
            [this, connected_peer](boost::system::error_code error,
                                   std::size_t size)
            {
                if (error)
                {
                    return;
                }
                if (this->replies.empty())
                {
                    this->silent_peers.push_back(connected_peer);
                    return;
                }
                connected_peer->buffer.consume(size);
                this->respond(connected_peer);
            });
    }

    void respond(std::shared_ptr<peer> const & connected_peer)
    {
        auto const next = this->replies.front();
        this->replies.pop_front();
        boost::system::error_code ignored; // the client may have closed
        asio::write(connected_peer->socket, asio::buffer(next.bytes), ignored);
        if (next.reset)
        {
            connected_peer->socket.set_option(
                asio::socket_base::linger(true, 0), ignored);
        }
        if (next.close || next.reset)
        {
            connected_peer->socket.close(ignored);
            return;
        }
        this->read(connected_peer);
    }

    tcp::acceptor acceptor;
    std::deque<reply> replies;
    // connections that receive no reply and stay open
    std::vector<std::shared_ptr<peer>> silent_peers;
};

std::string response(std::string const & id, std::string const & body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// @brief client that sends requests through an upstream
class upstream_client
{
public:
    upstream_client(asio::io_context & loop, endpoint const & address)
        : io(loop)
        , server(loop, address, upstream_options{})
    {
    }

    call_result send_request(std::string const & id,
                             std::string const & body = "")
    {
        request_message message{http::verb::post, "/", 11};
        message.set(http::field::host, "h");
        message.body() = body;
        message.prepare_payload();
        call_options options;
        options.deadline = now() + std::chrono::seconds(2);
        options.id_field = "Request-Id";
        options.id_value = id;
        std::optional<call_result> received;
        auto const call = this->server.send(std::move(message),
                                            options,
                                            false,
                                            [&received](call_result result)
                                            {
                                                received = std::move(result);
                                            });
        EXPECT_TRUE(run_until(this->io,
                              [&received]
                              {
                                  return received.has_value();
                              }));
        return received.value_or(call_result{});
    }

    asio::io_context & io;
    upstream server;
};

TEST(client_connection, drops_response_to_earlier_request)
{
    asio::io_context io;
    scripted_server server(
        io,
        {{response("1", "one")},
         {response("1", "one again") + response("2", "two")}});
    upstream_client client(io, server.address());
    EXPECT_EQ(client.send_request("1").response.body(), "one");
    auto const second = client.send_request("2");
    EXPECT_EQ(second.status, call_status::answered);
    EXPECT_EQ(second.response.body(), "two");
}

std::string refusal(std::string const & id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
           "Request-Id: " +
           id + "\r\nContent-Length: 0\r\n\r\n";
}

// A faulty server sent its refusal again when the refused request came again on
// the same connection: the client was told that a running request had not run.
TEST(client_connection, refused_request_is_not_sent_again_on_its_connection)
{
    asio::io_context io;
    scripted_server server(io,
                           {{refusal("1")},
                            {refusal("1") + response("2", "two")},
                            {response("1", "one")}});
    upstream_client client(io, server.address());
    EXPECT_EQ(client.send_request("1").response.result_int(), 503U);
    EXPECT_EQ(client.send_request("2").response.body(), "two");
    EXPECT_EQ(server.accepted, 1U);
    EXPECT_EQ(client.send_request("1").response.body(), "one");
    EXPECT_EQ(server.accepted, 2U) << "sent again where it was refused";
}

// A response whose head is cut off was framed as whole.
TEST(client_connection, head_that_is_cut_off_is_no_response)
{
    for (std::string const length : {"", "Content-Length: 3\r\n"})
    {
        std::string const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" +
                                 length + "Content-Type: text/plain\r\n\r\n";
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            asio::io_context io;
            scripted_server server(io, {{head.substr(0, size), true, false}});
            upstream_client client(io, server.address());
            auto const result = client.send_request("1");
            EXPECT_EQ(result.status, call_status::connection_lost) << size;
            EXPECT_EQ(result.response.body(), "") << size;
        }
    }
}

TEST(client_connection, closes_after_unsolicited_bytes)
{
    asio::io_context io;
    scripted_server server(
        io, {{response("1", "one") + "HTTP/1.1 200"}, {response("2", "two")}});
    upstream_client client(io, server.address());
    EXPECT_EQ(client.send_request("1").response.body(), "one");
    EXPECT_EQ(client.send_request("2").response.body(), "two");
    EXPECT_EQ(server.accepted, 2U);
}

struct response_case
{
    char const * name;
    scripted_server::reply reply;
    call_status status;
    char const * body;
};

TEST(client_connection, distinguishes_complete_from_incomplete_responses)
{
    for (auto const & test_case : std::vector<response_case>{
             {"no length, connection closed",
              {"HTTP/1.1 200 OK\r\n\r\nall of it", true, false},
              call_status::answered,
              "all of it"},
             {"no length, connection reset",
              {"HTTP/1.1 200 OK\r\n\r\nall of it", false, true},
              call_status::connection_lost,
              ""},
             {"body shorter than Content-Length",
              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true, false},
              call_status::connection_lost,
              ""},
             {"chunked body without last chunk",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n4\r\npart\r\n",
               true,
               false},
              call_status::connection_lost,
              ""},
             {"chunked body",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
               false,
               false},
              call_status::answered,
              "whole"},
             {"chunk longer than its size",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n4\r\nwhole\r\n0\r\n\r\n",
               true,
               false},
              call_status::connection_lost,
              ""},
             {"not an HTTP response",
              {"nonsense\r\n\r\n", true, false},
              call_status::connection_lost,
              ""},
             {"no bytes", {"", true, false}, call_status::connection_lost, ""},
             {"informational response before the final one",
              {"HTTP/1.1 100 Continue\r\n\r\n" + response("1", "one"),
               false,
               false},
              call_status::answered,
              "one"},
         })
    {
        asio::io_context io;
        scripted_server server(io, {test_case.reply});
        upstream_client client(io, server.address());
        auto const result = client.send_request("1");
        EXPECT_EQ(result.status, test_case.status)
            << test_case.name << result.detail;
        EXPECT_EQ(result.response.body(), test_case.body) << test_case.name;
    }
}

TEST(client_connection, accepts_response_before_request_is_sent)
{
    asio::io_context io;
    scripted_server server(io,
                           {{response("1", "early")}, {response("2", "two")}});
    upstream_client client(io, server.address());
    auto const early =
        client.send_request("1", std::string(std::size_t(32) << 20U, 'x'));
    EXPECT_EQ(early.status, call_status::answered);
    EXPECT_EQ(early.response.body(), "early");
    EXPECT_EQ(client.send_request("2").response.body(), "two");
    EXPECT_EQ(server.accepted, 2U)
        << "connection reused with an incomplete request";
}

TEST(client_connection, reports_not_sent_if_connect_fails)
{
    asio::io_context io;
    endpoint address;
    {
        scripted_server const closed(io, {});
        address = closed.address();
    }
    upstream_client client(io, address);
    EXPECT_EQ(client.send_request("1").status, call_status::not_sent);
}

TEST(client_connection, times_out_at_deadline_without_response)
{
    asio::io_context io;
    scripted_server server(io, {});
    upstream_client client(io, server.address());
    EXPECT_EQ(client.send_request("1").status, call_status::timed_out);
}

/// @brief calls whose client does not run while their server responds
class stalled_client
{
public:
    explicit stalled_client(std::deque<scripted_server::reply> script)
        : server(this->server_io, std::move(script))
        , connections(this->io, this->server.address(), upstream_options{})
    {
    }

    /// @brief sends a request
    void send(duration connect_timeout,
              duration timeout,
              client_connection::result_handler done)
    {
        request_message message{http::verb::get, "/", 11};
        message.set(http::field::host, "h");
        call_options options;
        options.connect_timeout = connect_timeout;
        options.deadline = now() + timeout;
        ASSERT_TRUE(this->connections.send(
            std::move(message), options, false, std::move(done)));
    }

    /// @brief runs the server only
    void stall(duration length)
    {
        this->server_io.restart();
        this->server_io.run_for(length);
    }

    bool run_until(std::function<bool()> const & condition)
    {
        return detail::run_until(this->io,
                                 [this, &condition]
                                 {
                                     this->server_io.restart();
                                     this->server_io.poll();
                                     return condition();
                                 });
    }

    asio::io_context server_io{1};
    asio::io_context io{1};
    scripted_server server;
    upstream connections;
};

// The connect timeout of a process that was busy for longer had expired as the
// connection was established; it ended the request that was just sent on it.
TEST(client_connection, expired_connect_timeout_does_not_end_a_sent_request)
{
    stalled_client client({{response("1", "one")}});
    std::optional<call_result> result;
    client.send(milliseconds(20),
                std::chrono::seconds(2),
                [&result](call_result received)
                {
                    result = std::move(received);
                });
    client.stall(milliseconds(60));
    ASSERT_TRUE(client.run_until(
        [&result]
        {
            return result.has_value();
        }));
    EXPECT_EQ(result->status, call_status::answered) << result->detail;
}

// The deadline of an answered request had expired as its response was read; it
// ended the next request on the connection.
TEST(client_connection, expired_deadline_does_not_end_the_next_request)
{
    stalled_client client({{response("1", "one")}, {response("2", "two")}});
    std::optional<call_result> first;
    std::optional<call_result> second;
    client.send(milliseconds(50),
                milliseconds(100),
                [&](call_result received)
                {
                    first = std::move(received);
                    client.send(milliseconds(50),
                                std::chrono::seconds(2),
                                [&second](call_result next)
                                {
                                    second = std::move(next);
                                });
                });
    // sends the request
    client.io.run_for(milliseconds(20));
    client.stall(milliseconds(120));
    client.io.restart();
    ASSERT_TRUE(client.run_until(
        [&second]
        {
            return second.has_value();
        }));
    EXPECT_EQ(first->status, call_status::answered) << first->detail;
    EXPECT_EQ(second->status, call_status::answered) << second->detail;
}

// ---------------------------------------------------------------------------
// server connections against a raw client
// ---------------------------------------------------------------------------

/// @brief stores requests until the test responds to them
class deferred_handler final : public request_handler
{
public:
    void handle(std::shared_ptr<exchange> incoming) override
    {
        incoming->on_cancel(
            [this]
            {
                this->cancelled += 1;
            });
        this->exchanges.push_back(std::move(incoming));
    }

    void respond(std::size_t index, std::string const & body)
    {
        response_message message{http::status::ok, 11};
        message.body() = body;
        message.keep_alive(true);
        message.prepare_payload();
        this->exchanges[index]->respond(std::move(message));
    }

    std::vector<std::shared_ptr<exchange>> exchanges;
    std::size_t cancelled = 0;
};

/// @brief listener with a client that sends raw bytes to it
class raw_client
{
public:
    explicit raw_client(server_limits const & limits = {})
        : listener(io, handler)
        , socket(io)
    {
        failure reason;
        EXPECT_TRUE(this->listener.open({"127.0.0.1", 0}, reason));
        this->listener.set_limits(limits);
        this->socket.connect(
            {asio::ip::make_address("127.0.0.1"), this->listener.port()});
    }

    void send(std::string const & bytes)
    {
        asio::write(this->socket, asio::buffer(bytes));
    }

    /// @brief reads until a text is received or the connection ends
    std::string read_until(std::string const & text)
    {
        std::string received;
        bool ended = false;
        this->read(received, ended);
        static_cast<void>(run_until(this->io,
                                    [&]
                                    {
                                        return ended || received.find(text) !=
                                                            std::string::npos;
                                    }));
        boost::system::error_code ignored; // cancels the pending read
        this->socket.cancel(ignored);
        this->io.run_for(milliseconds(1));
        return received;
    }

    bool wait_for_requests(std::size_t count)
    {
        return run_until(this->io,
                         [this, count]
                         {
                             return this->handler.exchanges.size() >= count;
                         });
    }

    asio::io_context io;
    deferred_handler handler;
    http_listener listener;
    tcp::socket socket;

private:
    void read(std::string & received, bool & ended)
    {
        this->socket.async_read_some(
            asio::buffer(this->chunk),
            [this, &received, &ended](boost::system::error_code error,
                                      std::size_t size)
            {
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                received.append(this->chunk.data(), size);
                if (error)
                {
                    ended = true;
                    return;
                }
                this->read(received, ended);
            });
    }

    std::array<char, 4096> chunk{};
};

TEST(server_connection, responds_to_pipelined_requests_in_order)
{
    raw_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(2))
        << "pipelined requests must run concurrently";
    client.handler.respond(1, "second");
    client.handler.respond(0, "first.");
    auto const received = client.read_until("second");
    EXPECT_LT(received.find("first."), received.find("second"));
}

// A connection at its limit of requests in progress had no pending operation,
// and ended with all of them.
TEST(server_connection, requests_beyond_the_pipelining_limit_lose_no_response)
{
    server_limits limits;
    limits.max_pipelined_requests = 4;
    raw_client client(limits);
    constexpr std::size_t requests = 10;
    for (std::size_t i = 0; i < requests; ++i)
    {
        client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    ASSERT_TRUE(client.wait_for_requests(limits.max_pipelined_requests));
    client.io.run_for(milliseconds(50));
    for (std::size_t i = 0; i < requests; ++i)
    {
        ASSERT_TRUE(client.wait_for_requests(i + 1));
        client.handler.respond(i, "response-" + std::to_string(i) + ";");
    }
    EXPECT_NE(client.read_until("response-9;").find("response-9;"),
              std::string::npos);
}

TEST(server_connection, cancels_requests_when_client_disconnects)
{
    raw_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(1));
    client.socket.close();
    EXPECT_TRUE(run_until(client.io,
                          [&client]
                          {
                              return client.handler.cancelled == 1;
                          }));
}

TEST(server_connection, client_that_ends_its_sending_side_gets_its_responses)
{
    server_limits limits;
    limits.accepts_half_close = true;
    raw_client client(limits);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(2));
    client.socket.shutdown(tcp::socket::shutdown_send);
    client.io.run_for(milliseconds(300));
    EXPECT_EQ(client.handler.cancelled, 0U);
    client.handler.respond(1, "second");
    client.handler.respond(0, "first.");
    auto const received = client.read_until("connection ends");
    EXPECT_LT(received.find("first."), received.find("second"));
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

TEST(server_connection, client_that_closes_cancels_where_half_close_is_accepted)
{
    server_limits limits;
    limits.accepts_half_close = true;
    raw_client client(limits);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(1));
    client.socket.close();
    client.io.run_for(milliseconds(200));
    EXPECT_EQ(client.handler.cancelled, 1U);
}

TEST(server_connection, target_in_absolute_form_is_replaced_by_its_path)
{
    raw_client client;
    client.send("GET http://app.example:80/a/1?b=c HTTP/1.1\r\n"
                "Host: other\r\n\r\n"
                "GET HTTP://app.example HTTP/1.1\r\nHost: other\r\n\r\n"
                "GET /a?u=http://x/ HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(3));
    auto const & first = client.handler.exchanges[0]->request;
    EXPECT_EQ(std_view(first.target()), "/a/1?b=c");
    EXPECT_EQ(std_view(first[http::field::host]), "app.example:80");
    auto const & second = client.handler.exchanges[1]->request;
    EXPECT_EQ(std_view(second.target()), "/");
    EXPECT_EQ(std_view(second[http::field::host]), "app.example");
    auto const & third = client.handler.exchanges[2]->request;
    EXPECT_EQ(std_view(third.target()), "/a?u=http://x/");
    EXPECT_EQ(std_view(third[http::field::host]), "h");
}

TEST(server_connection, empty_lines_ahead_of_a_request_are_ignored)
{
    raw_client client;
    client.send("\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r");
    ASSERT_TRUE(client.wait_for_requests(1));
    client.send("\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(client.wait_for_requests(2));
}

TEST(server_connection, accepts_chunked_body)
{
    raw_client client;
    client.send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(1));
    EXPECT_EQ(client.handler.exchanges[0]->request.body(), "abcde");
}

struct rejection_case
{
    char const * name;
    std::string bytes;
    char const * status;
};

TEST(server_connection, rejects_malformed_and_oversized_requests)
{
    for (auto const & test_case : std::vector<rejection_case>{
             {"not an HTTP request", "nonsense\r\n\r\n", " 400 "},
             {"two Content-Length fields",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
              "Content-Length: 2\r\n\r\nab",
              " 400 "},
             {"Content-Length before Transfer-Encoding",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              " 400 "},
             {"Transfer-Encoding before Content-Length",
              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "Content-Length: 4\r\n\r\n0\r\n\r\n",
              " 400 "},
             {"header above the limit",
              "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x') +
                  "\r\n\r\n",
              " 431 "},
             {"body above the limit",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n",
              " 413 "},
         })
    {
        server_limits limits;
        limits.header_bytes = 4096;
        limits.body_bytes = 4096;
        raw_client client(limits);
        client.send(test_case.bytes);
        auto const received = client.read_until("\r\n\r\n");
        EXPECT_NE(received.find(test_case.status), std::string::npos)
            << test_case.name << received;
        EXPECT_TRUE(client.handler.exchanges.empty()) << test_case.name;
    }
}

TEST(server_connection, sends_continue_if_expected)
{
    raw_client client;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    EXPECT_NE(client.read_until("\r\n\r\n").find(" 100 "), std::string::npos);
    client.send("ab");
    ASSERT_TRUE(client.wait_for_requests(1));
}

TEST(server_connection, times_out_incomplete_header)
{
    server_limits limits;
    limits.header_timeout = milliseconds(100);
    raw_client client(limits);
    client.send("GET / HTTP/1.1\r\nHos");
    EXPECT_NE(client.read_until("\r\n\r\n").find(" 408 "), std::string::npos);
}

TEST(server_connection, closes_idle_connection)
{
    server_limits limits;
    limits.idle_timeout = milliseconds(100);
    raw_client client(limits);
    EXPECT_EQ(client.read_until("never"), "");
}

TEST(server_connection, closes_after_response_while_draining)
{
    raw_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(1));
    client.listener.drain();
    client.handler.respond(0, "the last");
    auto const received = client.read_until("never");
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_NE(received.find("the last"), std::string::npos);
}

// Requests behind the first one of a connection were cancelled when a stopping
// node closed it after the first response, although they were running already.
TEST(server_connection, responds_to_all_running_requests_while_draining)
{
    raw_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(3));
    client.listener.drain();
    client.handler.respond(0, "first.");
    client.handler.respond(2, "third.");
    client.send("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n");
    client.io.run_for(milliseconds(20));
    EXPECT_EQ(client.handler.cancelled, 0U);
    client.handler.respond(1, "second");
    auto const received = client.read_until("never");
    EXPECT_NE(received.find("first."), std::string::npos);
    EXPECT_NE(received.find("second"), std::string::npos);
    EXPECT_NE(received.find("third."), std::string::npos);
    auto const close = received.find("Connection: close");
    EXPECT_LT(received.find("second"), close);
    EXPECT_LT(close, received.find("third."));
    EXPECT_EQ(client.handler.exchanges.size(), 3U)
        << "a request behind the close is not accepted";
}

// A stopping node closed a connection whose response was still in the system's
// buffer; the next pipelined request then reset it and destroyed the response.
TEST(server_connection, delivers_the_response_before_a_drained_connection_ends)
{
    constexpr std::size_t body_bytes = 1000000;
    for (bool const is_finished : {false, true})
    {
        raw_client client;
        client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(client.wait_for_requests(1));
        client.handler.respond(0, std::string(body_bytes, 'x'));
        ASSERT_TRUE(run_until(client.io,
                              [&client]
                              {
                                  return client.listener.pending_count() == 0;
                              }));
        // longer than the client may pause before its next request
        client.io.run_for(milliseconds(400));
        is_finished ? client.listener.finish() : client.listener.drain();
        client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        client.io.run_for(milliseconds(20));
        EXPECT_EQ(client.listener.unfinished_count(), 1U);
        auto const received = client.read_until("never");
        EXPECT_EQ(std::count(received.begin(), received.end(), 'x'),
                  static_cast<std::ptrdiff_t>(body_bytes));
        client.socket.close();
        EXPECT_TRUE(run_until(client.io,
                              [&client]
                              {
                                  return client.listener.unfinished_count() ==
                                         0;
                              }));
    }
}

// A client that has just connected is about to send its request.
TEST(server_connection, drain_waits_for_the_request_of_a_new_connection)
{
    raw_client client;
    ASSERT_TRUE(run_until(client.io,
                          [&client]
                          {
                              return client.listener.unfinished_count() == 1;
                          }));
    client.listener.drain();
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for_requests(1));
    client.handler.respond(0, "the last");
    EXPECT_NE(client.read_until("never").find("the last"), std::string::npos);
}

// ---------------------------------------------------------------------------
// memory of idle connections
// ---------------------------------------------------------------------------

// With 295 nodes, each holds idle connections to and from nearly all others,
// and each of them kept a read buffer and the body of its last request.
TEST(idle_connections, hold_no_buffer_and_no_request)
{
    constexpr std::size_t count = 200;
    // 4 MB a node, of which 2.5 MB are used without other nodes, for two
    // connections with each of 295 nodes
    constexpr std::size_t max_bytes_per_pair = 5200;
    asio::io_context io{1};
    deferred_handler handler;
    http_listener listener(io, handler);
    failure reason;
    ASSERT_TRUE(listener.open({"127.0.0.1", 0}, reason));
    upstream_options options;
    options.max_connections = count;
    upstream connections(io, {"127.0.0.1", listener.port()}, options);
    std::size_t answered = 0;
    auto const used_before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < count; ++i)
    {
        request_message message{http::verb::post, "/", 11};
        message.set(http::field::host, "h");
        message.body() = std::string(4000, 'x');
        message.prepare_payload();
        call_options call;
        call.deadline = now() + wait_limit;
        ASSERT_TRUE(connections.send(
            std::move(message),
            call,
            false,
            [&answered](call_result const & result)
            {
                answered += result.status == call_status::answered ? 1 : 0;
            }));
    }
    ASSERT_TRUE(run_until(io,
                          [&handler]
                          {
                              return handler.exchanges.size() == count;
                          }));
    for (std::size_t i = 0; i < count; ++i)
    {
        handler.respond(i, "done");
    }
    ASSERT_TRUE(run_until(io,
                          [&answered]
                          {
                              return answered == count;
                          }));
    handler.exchanges.clear();
    EXPECT_EQ(connections.opened_count(), count);
    EXPECT_LE(::mallinfo2().uordblks - used_before, count * max_bytes_per_pair);
}

} // namespace
} // namespace endivehinge::detail
