// ways of one hop between nodes, over the same payload in one run

#include <cstdio> // printf
#include <memory> // unique_ptr
#include <string> // string
#include <thread> // thread
#include <vector> // vector

#include <grpcpp/grpcpp.h> // ServerBuilder, CreateCustomChannel

#include <coordination.grpc.pb.h>

#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/http/http_server.hpp>

#include "support/latency_sample.hpp"
#include "support/tcp_echo.hpp"

namespace
{

using namespace endivehinge; // NOLINT
using benchmarks::latency_sample;

constexpr std::size_t payload_bytes = 1024;
constexpr double middle = 0.5;
constexpr double tail = 0.99;

class hop_way
{
public:
    hop_way() = default;
    hop_way(hop_way const &) = delete;
    hop_way & operator=(hop_way const &) = delete;
    virtual ~hop_way() = default;

    [[nodiscard]] virtual char const * name() const = 0;
    [[nodiscard]] virtual bool exchange() = 0;
};

class bare_tcp_way final : public hop_way
{
public:
    explicit bare_tcp_way(std::uint16_t port)
        : client(port, payload_bytes)
    {
    }

    char const * name() const override
    {
        return "bare_tcp";
    }

    bool exchange() override
    {
        return this->client.exchange();
    }

private:
    benchmarks::tcp_echo_client client;
};

class http_echo final : public detail::http_handler
{
public:
    http_response handle(http_request message, detail::http_connection) override
    {
        return {200, {}, std::move(message.body)};
    }
};

class http_way final : public hop_way
{
public:
    explicit http_way(std::uint16_t port)
        : server{"127.0.0.1", port}
    {
    }

    char const * name() const override
    {
        return "http";
    }

    bool exchange() override
    {
        http_request const request{
            "POST", "/hop", {}, std::string(payload_bytes, 'x')};
        detail::http_exchange_options options;
        options.timeout = std::chrono::seconds(5);
        detail::http_exchange_report report;
        failure reason;
        auto const response = this->client.exchange(
            this->server, request, options, report, reason);
        return response.has_value() && response->body.size() == payload_bytes;
    }

private:
    endpoint server;
    detail::http_client client{detail::http_client_limits()};
};

class grpc_echo final : public wire::coordination::Service
{
public:
    grpc::Status hand_over(grpc::ServerContext *,
                           wire::handover_request const * request,
                           wire::handover_response * response) override
    {
        response->set_reason(request->from());
        return grpc::Status::OK;
    }
};

class grpc_way final : public hop_way
{
public:
    explicit grpc_way(std::uint16_t port)
    {
        grpc::ChannelArguments arguments;
        // a connection of its own, as a node has for each peer
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        this->stub = wire::coordination::NewStub(
            grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port),
                                      grpc::InsecureChannelCredentials(),
                                      arguments));
    }

    char const * name() const override
    {
        return "grpc_unary";
    }

    bool exchange() override
    {
        grpc::ClientContext context;
        wire::handover_request request;
        request.set_from(std::string(payload_bytes, 'x'));
        wire::handover_response response;
        return this->stub->hand_over(&context, request, &response).ok() &&
               response.reason().size() == payload_bytes;
    }

private:
    std::unique_ptr<wire::coordination::Stub> stub;
};

struct way_ports
{
    std::uint16_t bare = 0;
    std::uint16_t http = 0;
    std::uint16_t grpc = 0;
};

using way_samples = std::vector<latency_sample>;

way_samples run_thread(way_ports const & ports, int rounds)
{
    std::vector<std::unique_ptr<hop_way>> ways;
    ways.push_back(std::make_unique<bare_tcp_way>(ports.bare));
    ways.push_back(std::make_unique<http_way>(ports.http));
    ways.push_back(std::make_unique<grpc_way>(ports.grpc));
    way_samples samples(ways.size());
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < ways.size(); ++i)
        {
            time_point const start = machine_clock().now();
            if (ways[i]->exchange())
            {
                samples[i].values.push_back(machine_clock().now() - start);
            }
        }
    }
    return samples;
}

way_samples run_threads(way_ports const & ports, int concurrency, int rounds)
{
    std::vector<way_samples> each(static_cast<std::size_t>(concurrency));
    std::vector<std::thread> threads;
    threads.reserve(each.size());
    for (auto & slot : each)
    {
        threads.emplace_back(
            [&slot, &ports, rounds]()
            {
                slot = run_thread(ports, rounds);
            });
    }
    way_samples all(3);
    for (std::size_t thread = 0; thread < each.size(); ++thread)
    {
        threads[thread].join();
        for (std::size_t way = 0; way < all.size(); ++way)
        {
            all[way].append(each[thread][way]);
        }
    }
    return all;
}

void measure(way_ports const & ports, int concurrency, int rounds)
{
    char const * const names[] = {"bare_tcp", "http", "grpc_unary"};
    way_samples const all =
        run_threads(ports, concurrency, rounds / concurrency);
    double const floor = to_milliseconds(all[0].quantile(middle));
    for (std::size_t way = 0; way < all.size(); ++way)
    {
        double const p50 = to_milliseconds(all[way].quantile(middle));
        std::printf("hop way=%s concurrency=%d calls=%zu p50_ms=%.3f "
                    "p99_ms=%.3f ratio_to_bare_p50=%.2f\n",
                    names[way],
                    concurrency,
                    all[way].values.size(),
                    p50,
                    to_milliseconds(all[way].quantile(tail)),
                    p50 / floor);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char ** argv)
{
    tools::tool_options const options(argc, argv);
    auto const rounds = static_cast<int>(options.number("rounds", 4000));
    failure reason;
    benchmarks::tcp_echo_server const bare(payload_bytes);
    http_echo echo;
    auto const http =
        detail::http_server::start({"127.0.0.1", 0}, echo, {}, reason);
    grpc_echo service;
    int grpc_port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
        "127.0.0.1:0", grpc::InsecureServerCredentials(), &grpc_port);
    builder.RegisterService(&service);
    auto const server = builder.BuildAndStart();
    if (http == nullptr || server == nullptr)
    {
        return 1;
    }
    way_ports const ports{
        bare.port(), http->port(), static_cast<std::uint16_t>(grpc_port)};
    for (int const concurrency : {1, 8, 64})
    {
        measure(ports, concurrency, rounds);
    }
    server->Shutdown();
    return 0;
}
