#include <gtest/gtest.h>

#include <sys/resource.h> // getrusage

#include <array>   // array
#include <cstdlib> // atoi, getenv
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <absl/strings/str_replace.h> // StrReplaceAll

#include <boost/asio/ip/address.hpp>   // make_address
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // async_write

#include "gateway/byte_mutator.hpp"
#include "gateway/endless_server.hpp"
#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// a quarter of the memory limit of a node
constexpr long max_growth_kib = 64L * 1024;
// part of the messages that are changed
constexpr double changed_share = 0.3;
constexpr std::size_t request_count = 40;
constexpr std::size_t raw_request_count = 150;
constexpr milliseconds raw_request_time(40);

// of this process, since its start
long peak_memory_kib()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

tcp::endpoint to_asio(endpoint const & address)
{
    return {asio::ip::make_address(address.host), address.port};
}

/// @brief sends bytes to a listener, again and again if asked to
class raw_sender : public std::enable_shared_from_this<raw_sender>
{
public:
    raw_sender(asio::io_context & loop, std::string beginning, std::string rest)
        : socket(loop)
        , text(std::move(beginning))
        , repeated(std::move(rest))
    {
    }

    void start(endpoint const & listener)
    {
        this->socket.connect(to_asio(listener));
        this->send();
    }

    void close()
    {
        boost::system::error_code ignored; // the node may have closed it
        this->socket.close(ignored);
    }

private:
    void send()
    {
        asio::async_write(this->socket,
                          asio::buffer(this->text),
                          [self = this->shared_from_this()](
                              boost::system::error_code error, std::size_t)
                          {
                              if (!error && !self->repeated.empty())
                              {
                                  self->text = self->repeated;
                                  self->send();
                              }
                          });
    }

    tcp::socket socket;
    std::string text;
    std::string repeated;
};

/// @brief whether requests to a node are answered with success in the end
bool serves_again(gateway_fleet & fleet, fleet_member & member)
{
    int in_a_row = 0;
    for (int i = 0; i < 100 && in_a_row < 3; ++i)
    {
        auto const result = fleet.send_and_wait(
            member, "/safe/after", "after-" + std::to_string(i));
        bool const answered = result.response.result_int() == 200;
        in_a_row = answered ? in_a_row + 1 : 0;
        if (!answered)
        {
            fleet.run_for(milliseconds(50));
        }
    }
    return in_a_row == 3;
}

class gateway_malformed_messages : public ::testing::TestWithParam<int>
{
protected:
    gateway_fleet fleet;
    byte_mutator mutator{static_cast<std::uint32_t>(GetParam())};
};

// An exception for one message of a target, the store or another node ended the
// process, and with it the requests of all clients.
TEST_P(gateway_malformed_messages, of_servers_end_no_other_request)
{
    this->fleet.use_target_relays = true;
    this->fleet.use_store_relays = true;
    this->fleet.start_members(3, "web");
    auto const peer =
        this->fleet.members[1]->node->state.settings.peer_listener;
    fault_relay peer_link(this->fleet.io, {"127.0.0.1", 0}, peer);
    // names node-1 once more, behind the relay
    this->fleet.store.put(
        "targets",
        "node-9",
        nlohmann::json::parse(absl::StrReplaceAll(
            this->fleet.store.spec("targets", "node-1").dump(),
            {{"i-1", "i-9"},
             {peer.to_string(), peer_link.address().to_string()}})));
    auto const peak_before = peak_memory_kib();
    relay_faults faults;
    faults.rewrite_to_client = [this](std::string bytes)
    {
        return this->mutator.happens(changed_share)
                   ? this->mutator.mutate(std::move(bytes))
                   : bytes;
    };
    peer_link.set_faults(faults);
    for (auto const index : {0U, 1U})
    {
        this->fleet.members[index]->target_link->set_faults(faults);
        this->fleet.members[index]->store_link->set_faults(faults);
    }
    this->fleet.store.put("evacuations", "d9", nlohmann::json::object());
    for (std::size_t i = 0; i < request_count; ++i)
    {
        auto const result =
            this->fleet.send_and_wait(*this->fleet.members[i % 3],
                                      i % 2 == 0 ? "/safe/a" : "/unsafe/a",
                                      "id-" + std::to_string(i));
        EXPECT_EQ(result.status, detail::call_status::answered) << i;
    }
    peer_link.set_faults({});
    peer_link.reset_connections();
    for (auto const index : {0U, 1U})
    {
        this->fleet.members[index]->target_link->set_faults({});
        this->fleet.members[index]->store_link->set_faults({});
        this->fleet.members[index]->target_link->reset_connections();
        this->fleet.members[index]->store_link->reset_connections();
    }
    for (auto const & member : this->fleet.members)
    {
        EXPECT_TRUE(serves_again(this->fleet, *member));
    }
    EXPECT_LE(peak_memory_kib() - peak_before, max_growth_kib);
}

// The same for what arrives at the listeners of a node.
TEST_P(gateway_malformed_messages, of_clients_end_no_other_request)
{
    this->fleet.start_members(2, "web");
    auto const & settings = this->fleet.members[0]->node->state.settings;
    std::array<endpoint, 4> const listeners{settings.client_listener,
                                            settings.peer_listener,
                                            settings.readiness_listener,
                                            settings.report_listener};
    std::array<std::string, 5> const requests{
        "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\n"
        "Deadline-Ms: 1000\r\n\r\n",
        "POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n",
        "GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /api/instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\n"
        "Content-Length: 62\r\n\r\n"
        R"({"address":"127.0.0.1:1","born":1,"status":{"state":"ready"}}  )",
        "GET /endivehinge/flights/a-1,a-2 HTTP/1.1\r\nHost: h\r\n"
        "Endivehinge-Query-Age: 10\r\n\r\n"};
    auto const peak_before = peak_memory_kib();
    for (std::size_t i = 0; i < raw_request_count; ++i)
    {
        auto const sender = std::make_shared<raw_sender>(
            this->fleet.io,
            this->mutator.mutate(
                requests[this->mutator.below(requests.size())]),
            "");
        sender->start(listeners[this->mutator.below(listeners.size())]);
        this->fleet.run_for(raw_request_time / 10);
        if (this->mutator.happens(changed_share))
        {
            sender->close();
        }
    }
    this->fleet.run_for(raw_request_time);
    for (auto const & member : this->fleet.members)
    {
        EXPECT_TRUE(serves_again(this->fleet, *member));
    }
    EXPECT_LE(peak_memory_kib() - peak_before, max_growth_kib);
}

/// @brief number of seeds; more than the usual ones are run by hand
int seed_count()
{
    auto const * const count = std::getenv("ENDIVEHINGE_FUZZ_SEEDS");
    return count != nullptr ? std::atoi(count) : 5;
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         gateway_malformed_messages,
                         ::testing::Range(1, 1 + seed_count()));

// Bytes without end from a target and from 50 clients at once.
TEST(gateway_endless_messages, leave_memory_for_the_requests_of_others)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & target = *fleet.members[0]->target;
    target.crash();
    auto const peak_before = peak_memory_kib();
    std::string const part(0x4000, 'x');
    endless_server const server(
        fleet.io,
        target.address(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        part);
    std::vector<std::shared_ptr<raw_sender>> senders;
    for (int i = 0; i < 50; ++i)
    {
        senders.push_back(std::make_shared<raw_sender>(
            fleet.io,
            i % 2 == 0 ? "POST /safe/a HTTP/1.1\r\nHost: h.example\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n5;"
                       : "POST /safe/a HTTP/1.1\r\nHost: h.example\r\n"
                         "Content-Length: 18446744073709551615\r\n\r\n",
            part));
        senders.back()->start(
            fleet.members[i % 2]->node->state.settings.client_listener);
    }
    constexpr int calls = 100;
    int answered = 0;
    for (int i = 0; i < calls; ++i)
    {
        auto const result = fleet.send_and_wait(
            *fleet.members[1], "/safe/b", "id-" + std::to_string(i));
        answered += result.response.result_int() == 200 ? 1 : 0;
    }
    EXPECT_GE(answered, calls * 99 / 100);
    EXPECT_LE(peak_memory_kib() - peak_before, max_growth_kib);
}

} // namespace
} // namespace endivehinge::tests
