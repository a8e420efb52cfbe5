#include <gtest/gtest.h>

#include <deque>    // deque
#include <optional> // optional

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

constexpr duration patience = std::chrono::seconds(20);

time_point now()
{
    return std::chrono::steady_clock::now();
}

bool run_until(asio::io_context & io, std::function<bool()> const & condition)
{
    auto const end = now() + patience;
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
// requests to a server that answers with given bytes
// ---------------------------------------------------------------------------

/// @brief answers the heads of requests with given bytes, in turn
class byte_server
{
public:
    struct reply
    {
        std::string bytes;
        bool close = false;
        bool reset = false;
    };

    byte_server(asio::io_context & loop, std::deque<reply> script)
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

    void read(std::shared_ptr<peer> const & one)
    {
        asio::async_read_until(
            one->socket,
            one->buffer,
            "\r\n\r\n",
            [this, one](boost::system::error_code error, std::size_t size)
            {
                if (error)
                {
                    return;
                }
                if (this->replies.empty())
                {
                    this->silent_peers.push_back(one);
                    return;
                }
                one->buffer.consume(size);
                this->answer(one);
            });
    }

    void answer(std::shared_ptr<peer> const & one)
    {
        auto const next = this->replies.front();
        this->replies.pop_front();
        boost::system::error_code ignored; // the client may have closed
        asio::write(one->socket, asio::buffer(next.bytes), ignored);
        if (next.reset)
        {
            one->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (next.close || next.reset)
        {
            one->socket.close(ignored);
            return;
        }
        this->read(one);
    }

    tcp::acceptor acceptor;
    std::deque<reply> replies;
    // open connections that get no reply
    std::vector<std::shared_ptr<peer>> silent_peers;
};

std::string response(std::string const & id, std::string const & body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// @brief an upstream to a byte_server
class client
{
public:
    client(asio::io_context & loop, endpoint const & address)
        : io(loop)
        , server(loop, address, upstream_options{})
    {
    }

    call_result ask(std::string const & id, std::string body = "")
    {
        request_message message{http::verb::post, "/", 11};
        message.set(http::field::host, "h");
        message.body() = std::move(body);
        message.prepare_payload();
        call_options options;
        options.deadline = now() + std::chrono::seconds(2);
        options.id_field = "Request-Id";
        options.id_value = id;
        std::optional<call_result> got;
        auto const call = this->server.send(std::move(message),
                                            options,
                                            false,
                                            [&got](call_result result)
                                            {
                                                got = std::move(result);
                                            });
        EXPECT_TRUE(run_until(this->io,
                              [&got]
                              {
                                  return got.has_value();
                              }));
        return got.value_or(call_result{});
    }

    asio::io_context & io;
    upstream server;
};

TEST(client_connection, drops_a_response_of_an_earlier_request)
{
    asio::io_context io;
    byte_server server(io,
                       {{response("1", "one")},
                        {response("1", "one again") + response("2", "two")}});
    client caller(io, server.address());
    EXPECT_EQ(caller.ask("1").response.body(), "one");
    auto const second = caller.ask("2");
    EXPECT_EQ(second.status, call_status::answered);
    EXPECT_EQ(second.response.body(), "two");
}

TEST(client_connection, bytes_behind_a_response_end_the_connection)
{
    asio::io_context io;
    byte_server server(
        io, {{response("1", "one") + "HTTP/1.1 200"}, {response("2", "two")}});
    client caller(io, server.address());
    EXPECT_EQ(caller.ask("1").response.body(), "one");
    EXPECT_EQ(caller.ask("2").response.body(), "two");
    EXPECT_EQ(server.accepted, 2U);
}

struct broken_case
{
    char const * name;
    byte_server::reply reply;
    call_status status;
    char const * body;
};

TEST(client_connection, tells_whole_responses_from_broken_ones)
{
    for (auto const & row : std::vector<broken_case>{
             {"no length, ended by a close",
              {"HTTP/1.1 200 OK\r\n\r\nall of it", true, false},
              call_status::answered,
              "all of it"},
             {"no length, ended by a reset",
              {"HTTP/1.1 200 OK\r\n\r\nall of it", false, true},
              call_status::lost,
              ""},
             {"shorter than its length",
              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true, false},
              call_status::lost,
              ""},
             {"chunks without the last one",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n4\r\npart\r\n",
               true,
               false},
              call_status::lost,
              ""},
             {"chunks",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
               false,
               false},
              call_status::answered,
              "whole"},
             {"chunks of another size than they say",
              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
               "chunked\r\n\r\n4\r\nwhole\r\n0\r\n\r\n",
               true,
               false},
              call_status::lost,
              ""},
             {"no HTTP",
              {"nonsense\r\n\r\n", true, false},
              call_status::lost,
              ""},
             {"nothing", {"", true, false}, call_status::lost, ""},
             {"an informational response first",
              {"HTTP/1.1 100 Continue\r\n\r\n" + response("1", "one"),
               false,
               false},
              call_status::answered,
              "one"},
         })
    {
        asio::io_context io;
        byte_server server(io, {row.reply});
        client caller(io, server.address());
        auto const result = caller.ask("1");
        EXPECT_EQ(result.status, row.status) << row.name << result.detail;
        EXPECT_EQ(result.response.body(), row.body) << row.name;
    }
}

TEST(client_connection, a_response_before_the_end_of_the_request_is_taken)
{
    asio::io_context io;
    byte_server server(io, {{response("1", "early")}, {response("2", "two")}});
    client caller(io, server.address());
    auto const early =
        caller.ask("1", std::string(std::size_t(32) << 20U, 'x'));
    EXPECT_EQ(early.status, call_status::answered);
    EXPECT_EQ(early.response.body(), "early");
    EXPECT_EQ(caller.ask("2").response.body(), "two");
    EXPECT_EQ(server.accepted, 2U) << "the rest of the body is never sent";
}

TEST(client_connection, a_request_that_was_never_sent_is_told)
{
    asio::io_context io;
    endpoint address;
    {
        byte_server const closed(io, {});
        address = closed.address();
    }
    client caller(io, address);
    EXPECT_EQ(caller.ask("1").status, call_status::not_sent);
}

TEST(client_connection, a_silent_server_is_given_up_at_the_deadline)
{
    asio::io_context io;
    byte_server server(io, {});
    client caller(io, server.address());
    EXPECT_EQ(caller.ask("1").status, call_status::timed_out);
}

// ---------------------------------------------------------------------------
// requests of clients that send given bytes
// ---------------------------------------------------------------------------

/// @brief keeps requests for the test to answer
class keeping_handler final : public request_handler
{
public:
    void handle(std::shared_ptr<exchange> incoming) override
    {
        incoming->on_cancel(
            [this]
            {
                this->cancelled += 1;
            });
        this->kept.push_back(std::move(incoming));
    }

    void answer(std::size_t which, std::string const & body)
    {
        response_message message{http::status::ok, 11};
        message.body() = body;
        message.keep_alive(true);
        message.prepare_payload();
        this->kept[which]->respond(std::move(message));
    }

    std::vector<std::shared_ptr<exchange>> kept;
    std::size_t cancelled = 0;
};

/// @brief a listener and a client that sends bytes to it
class byte_client
{
public:
    explicit byte_client(server_limits const & limits = {})
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

    /// @brief reads until a text came, or the connection ended
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
        boost::system::error_code ignored; // ends the read that is pending
        this->socket.cancel(ignored);
        this->io.run_for(milliseconds(1));
        return received;
    }

    bool wait_for(std::size_t count)
    {
        return run_until(this->io,
                         [this, count]
                         {
                             return this->handler.kept.size() >= count;
                         });
    }

    asio::io_context io;
    keeping_handler handler;
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

TEST(server_connection, answers_pipelined_requests_in_their_order)
{
    byte_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for(2)) << "both run at once";
    client.handler.answer(1, "second");
    client.handler.answer(0, "first.");
    auto const got = client.read_until("second");
    EXPECT_LT(got.find("first."), got.find("second"));
}

TEST(server_connection, a_client_that_closes_cancels_its_requests)
{
    byte_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for(1));
    client.socket.close();
    EXPECT_TRUE(run_until(client.io,
                          [&client]
                          {
                              return client.handler.cancelled == 1;
                          }));
}

TEST(server_connection, takes_a_body_in_chunks)
{
    byte_client client;
    client.send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(client.wait_for(1));
    EXPECT_EQ(client.handler.kept[0]->request.body(), "abcde");
}

struct rejected_case
{
    char const * name;
    std::string bytes;
    char const * status;
};

TEST(server_connection, rejects_what_it_must_not_pass_on)
{
    for (auto const & row : std::vector<rejected_case>{
             {"no HTTP", "nonsense\r\n\r\n", " 400 "},
             {"two lengths",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
              "Content-Length: 2\r\n\r\nab",
              " 400 "},
             {"a length and chunks",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              " 400 "},
             {"chunks and a length",
              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "Content-Length: 4\r\n\r\n0\r\n\r\n",
              " 400 "},
             {"a long head",
              "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x') +
                  "\r\n\r\n",
              " 431 "},
             {"a long body",
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n",
              " 413 "},
         })
    {
        server_limits limits;
        limits.header_bytes = 4096;
        limits.body_bytes = 4096;
        byte_client client(limits);
        client.send(row.bytes);
        auto const got = client.read_until("\r\n\r\n");
        EXPECT_NE(got.find(row.status), std::string::npos) << row.name << got;
        EXPECT_TRUE(client.handler.kept.empty()) << row.name;
    }
}

TEST(server_connection, asks_for_a_body_that_waits_for_it)
{
    byte_client client;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    EXPECT_NE(client.read_until("\r\n\r\n").find(" 100 "), std::string::npos);
    client.send("ab");
    ASSERT_TRUE(client.wait_for(1));
}

TEST(server_connection, a_head_that_does_not_end_is_timed_out)
{
    server_limits limits;
    limits.header_timeout = milliseconds(100);
    byte_client client(limits);
    client.send("GET / HTTP/1.1\r\nHos");
    EXPECT_NE(client.read_until("\r\n\r\n").find(" 408 "), std::string::npos);
}

TEST(server_connection, an_idle_connection_is_closed)
{
    server_limits limits;
    limits.idle_timeout = milliseconds(100);
    byte_client client(limits);
    EXPECT_EQ(client.read_until("never"), "");
}

TEST(server_connection, a_draining_listener_ends_its_connections)
{
    byte_client client;
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(client.wait_for(1));
    client.listener.drain();
    client.handler.answer(0, "the last");
    auto const got = client.read_until("never");
    EXPECT_NE(got.find("Connection: close"), std::string::npos);
    EXPECT_NE(got.find("the last"), std::string::npos);
}

} // namespace
} // namespace endivehinge::detail
