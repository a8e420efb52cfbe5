#include <arpa/inet.h>  // htons, htonl
#include <netinet/in.h> // sockaddr_in
#include <sys/socket.h> // socket, connect, send
#include <unistd.h>     // close

#include <string> // string
#include <vector> // vector

#include <gtest/gtest.h>

#include <endivehinge/detail/control/change_set_codec.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/control/control_server.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration generous = std::chrono::seconds(10);

class echo_handler final : public configuration_handler
{
public:
    bool pull(wire::pull_request const & request,
              wire::pull_response & response) override
    {
        response.mutable_changes()->add_objects()->set_name(request.from());
        return this->answers;
    }

    bool push(wire::push_request const & request,
              wire::push_response & response) override
    {
        response.set_version(request.changes().upto());
        return this->answers;
    }

    bool answers = true;
};

class control : public ::testing::Test
{
protected:
    void SetUp() override
    {
        control_handlers handlers;
        handlers.configuration = &this->handler;

        this->server = control_server::start(
            {"127.0.0.1", 0}, handlers, control_limits(), this->reason);
        ASSERT_NE(this->server, nullptr) << this->reason.describe();
    }

    endpoint address() const
    {
        return {"127.0.0.1", this->server->port()};
    }

    echo_handler handler;
    std::unique_ptr<control_server> server;
    control_client client{control_limits()};
    failure reason;
};

TEST_F(control, an_exchange_reaches_its_handler)
{
    wire::pull_request request;
    request.set_from("listings-1");
    auto const response =
        this->client.pull(this->address(), request, generous, this->reason);
    ASSERT_TRUE(response.has_value()) << this->reason.describe();
    EXPECT_EQ(response->changes().objects(0).name(), "listings-1");
}

TEST_F(control, a_handler_that_is_not_set_is_unavailable)
{
    auto const response =
        this->client.renew_lease(this->address(), {}, generous, this->reason);
    EXPECT_FALSE(response.has_value());
    EXPECT_EQ(this->reason.id, failure_id::connection_lost);
    EXPECT_EQ(this->reason.step, "renew lease");
    EXPECT_EQ(this->reason.peer, this->address().to_string());
}

TEST_F(control, a_handler_that_cannot_answer_is_unavailable)
{
    this->handler.answers = false;
    EXPECT_FALSE(
        this->client.push(this->address(), {}, generous, this->reason));
    this->handler.answers = true;
    EXPECT_TRUE(this->client.push(this->address(), {}, generous, this->reason))
        << this->reason.describe();
}

TEST_F(control, a_message_over_the_bound_is_refused_and_the_server_goes_on)
{
    wire::push_request request;
    request.mutable_changes()->add_objects()->set_value(
        std::string(control_limits().message_bytes + 1, 'x'));
    EXPECT_FALSE(
        this->client.push(this->address(), request, generous, this->reason));
    EXPECT_EQ(this->reason.id, failure_id::overloaded);
    EXPECT_TRUE(this->client.pull(this->address(), {}, generous, this->reason));
}

TEST_F(control, more_peers_than_channels_are_all_reached)
{
    control_limits limits;
    limits.channels = 1;
    control_client small(limits);
    failure ignored;
    control_handlers handlers;
    handlers.configuration = &this->handler;
    auto const second = control_server::start(
        {"127.0.0.1", 0}, handlers, control_limits(), ignored);
    ASSERT_NE(second, nullptr);
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(small.pull(this->address(), {}, generous, this->reason));
        EXPECT_TRUE(small.pull(
            {"127.0.0.1", second->port()}, {}, generous, this->reason));
    }
}

TEST_F(control, garbage_harms_nobody_else)
{
    for (int i = 0; i < 20; ++i)
    {
        int const raw = ::socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_GE(raw, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->server->port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(::connect(raw,
                            reinterpret_cast<sockaddr *>(&address), // NOLINT
                            sizeof address),
                  0);
        std::string const garbage(1000, static_cast<char>(i * 13));
        static_cast<void>(
            ::send(raw, garbage.data(), garbage.size(), MSG_NOSIGNAL));
        EXPECT_TRUE(
            this->client.pull(this->address(), {}, generous, this->reason));
        ::close(raw);
    }
}

struct change_set_case
{
    std::uint64_t after;
    std::uint64_t upto;
    std::vector<std::uint64_t> versions;
    bool good;
};

TEST(change_set_codec, takes_sets_whose_versions_fit_and_no_others)
{
    change_set_case const cases[] = {
        {0, 0, {}, true},
        {3, 3, {}, true},
        {0, 5, {2, 5}, true},
        {0, 5, {5, 2}, true},
        {0, 5, {}, false},
        {0, 5, {4}, false},
        {0, 5, {5, 6}, false},
        {2, 5, {2, 5}, false},
        {5, 3, {}, false},
        {0, ~std::uint64_t{0}, {1}, false},
    };
    for (auto const & tried : cases)
    {
        change_set changes{
            object_version(tried.after), object_version(tried.upto), {}};
        for (auto const version : tried.versions)
        {
            changes.objects.push_back({"configuration",
                                       "service.a",
                                       object_version(version),
                                       "text",
                                       false});
        }
        failure reason;
        auto const read = decode(encode(changes), reason);
        EXPECT_EQ(read.has_value(), tried.good) << tried.upto;
        if (read.has_value())
        {
            EXPECT_EQ(read->objects.size(), changes.objects.size());
        }
    }
}

TEST_F(control, a_port_in_use_is_an_error_that_names_it)
{
    auto const second = control_server::start(
        this->address(), control_handlers(), control_limits(), this->reason);
    EXPECT_EQ(second, nullptr);
    EXPECT_EQ(this->reason.peer, this->address().to_string());
}

TEST_F(control, a_peer_that_is_away_is_a_failure_and_found_when_back)
{
    endpoint const address = this->address();
    this->server.reset();
    EXPECT_FALSE(this->client.pull(address, {}, generous, this->reason));
    control_handlers handlers;
    handlers.configuration = &this->handler;
    this->server = control_server::start(
        address, handlers, control_limits(), this->reason);
    ASSERT_NE(this->server, nullptr) << this->reason.describe();
    EXPECT_TRUE(this->client.pull(address, {}, generous, this->reason));
}

} // namespace
} // namespace endivehinge::detail
