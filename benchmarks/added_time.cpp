// the time that nodes add to a call, against the same call straight to the
// target, paired in one run; the bare TCP echo is the floor of the machine

#include <cstdio>     // printf
#include <cstdlib>    // mkdtemp
#include <filesystem> // temp_directory_path
#include <string>     // string
#include <thread>     // thread
#include <vector>     // vector

#include <common/local_deployment.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "support/latency_sample.hpp"
#include "support/tcp_echo.hpp"

namespace
{

using namespace endivehinge; // NOLINT
using benchmarks::latency_sample;

constexpr std::size_t body_bytes = 1024;
constexpr double middle = 0.5;
constexpr double tail = 0.99;

constexpr char const * configuration_text = R"(
services:
  - {name: listings, deadline_ms: 5000}
  - {name: archive, deadline_ms: 5000}
)";

// the ways of one call, measured one after the other by the same thread
struct call_samples
{
    latency_sample bare;
    latency_sample straight;
    latency_sample local;
    latency_sample hop;

    void append(call_samples const & other)
    {
        this->bare.append(other.bare);
        this->straight.append(other.straight);
        this->local.append(other.local);
        this->hop.append(other.hop);
    }
};

struct call_endpoints
{
    std::uint16_t echo = 0;
    endpoint target;
    endpoint local_node;
    endpoint other_node;
};

duration elapsed(time_point since)
{
    return machine_clock().now() - since;
}

void call(detail::http_client & client,
          endpoint const & where,
          latency_sample & into)
{
    http_request const request{
        "POST", "/listings/echo", {}, std::string(body_bytes, 'x')};
    detail::http_exchange_options options;
    options.timeout = std::chrono::seconds(5);
    detail::http_exchange_report report;
    failure reason;
    time_point const start = machine_clock().now();
    auto const response =
        client.exchange(where, request, options, report, reason);
    if (response.has_value() && response->status == 200)
    {
        into.values.push_back(elapsed(start));
    }
}

call_samples run_thread(call_endpoints const & ends, int rounds)
{
    call_samples samples;
    detail::http_client client{detail::http_client_limits()};
    benchmarks::tcp_echo_client echo(ends.echo, body_bytes);
    for (int i = 0; i < rounds; ++i)
    {
        time_point const start = machine_clock().now();
        if (echo.exchange())
        {
            samples.bare.values.push_back(elapsed(start));
        }
        call(client, ends.target, samples.straight);
        call(client, ends.local_node, samples.local);
        call(client, ends.other_node, samples.hop);
    }
    return samples;
}

call_samples
run_threads(call_endpoints const & ends, int concurrency, int rounds)
{
    std::vector<call_samples> each(static_cast<std::size_t>(concurrency));
    std::vector<std::thread> threads;
    threads.reserve(each.size());
    for (auto & slot : each)
    {
        threads.emplace_back(
            [&slot, &ends, rounds]()
            {
                slot = run_thread(ends, rounds);
            });
    }
    call_samples all;
    for (std::size_t i = 0; i < each.size(); ++i)
    {
        threads[i].join();
        all.append(each[i]);
    }
    return all;
}

double milliseconds_of(latency_sample const & sample, double share)
{
    return to_milliseconds(sample.quantile(share));
}

void print(char const * way,
           int concurrency,
           latency_sample const & sample,
           call_samples const & all)
{
    std::printf(
        "added_time way=%s concurrency=%d calls=%zu p50_ms=%.3f "
        "p99_ms=%.3f added_p50_ms=%.3f added_p99_ms=%.3f "
        "ratio_to_bare_p50=%.2f\n",
        way,
        concurrency,
        sample.values.size(),
        milliseconds_of(sample, middle),
        milliseconds_of(sample, tail),
        milliseconds_of(sample, middle) - milliseconds_of(all.straight, middle),
        milliseconds_of(sample, tail) - milliseconds_of(all.straight, tail),
        milliseconds_of(sample, middle) / milliseconds_of(all.bare, middle));
    std::fflush(stdout);
}

bool measure(std::string const & binaries,
             std::string const & work,
             int rounds,
             failure & reason)
{
    tools::local_deployment deployment(binaries, work);
    std::vector<std::string> const quick = {"--slots", "128"};
    if (!deployment.start_platform(configuration_text, reason) ||
        !deployment.start_instance(
            {"listings-1", "listings", "almaty-a", quick}, reason) ||
        !deployment.start_instance({"archive-1", "archive", "almaty-a", quick},
                                   reason) ||
        !deployment.wait_until_joined(absl::Seconds(10)))
    {
        return false;
    }
    benchmarks::tcp_echo_server const echo(body_bytes);
    call_endpoints ends;
    ends.echo = echo.port();
    ends.target = {"127.0.0.1", deployment.instance(0).target->port("port")};
    ends.local_node = deployment.ingress(0);
    ends.other_node = deployment.ingress(1);
    for (int const concurrency : {1, 8, 64})
    {
        call_samples const all =
            run_threads(ends, concurrency, rounds / concurrency);
        print("bare_tcp", concurrency, all.bare, all);
        print("straight", concurrency, all.straight, all);
        print("local_node", concurrency, all.local, all);
        print("other_node", concurrency, all.hop, all);
    }
    return true;
}

} // namespace

int main(int argc, char ** argv)
{
    tools::tool_options const options(argc, argv);
    std::string work =
        (std::filesystem::temp_directory_path() / "endivehinge-XXXXXX")
            .string();
    if (::mkdtemp(work.data()) == nullptr)
    {
        return 1;
    }
    std::string const binaries =
        std::filesystem::path(argv[0]).parent_path().string();
    failure reason;
    bool const done = measure(binaries,
                              work,
                              static_cast<int>(options.number("rounds", 4000)),
                              reason);
    std::filesystem::remove_all(work);
    if (!done)
    {
        std::fprintf(stderr, "%s\n", reason.describe().c_str());
    }
    return done ? 0 : 1;
}
