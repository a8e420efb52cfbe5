// what a whole node process costs: idle by the size of the deployment, and a
// call, locally and over one hop

#include <cstdio>     // printf
#include <cstdlib>    // mkdtemp
#include <filesystem> // temp_directory_path
#include <string>     // string
#include <thread>     // thread
#include <vector>     // vector

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // SleepFor

#include <common/local_deployment.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_client.hpp>

#include "support/process_usage.hpp"

namespace
{

using namespace endivehinge; // NOLINT

constexpr std::size_t body_bytes = 1024;
constexpr int callers = 8;
constexpr double nanoseconds_per_microsecond = 1000;

constexpr char const * configuration_text = R"(
services:
  - {name: listings, deadline_ms: 5000}
  - {name: archive, deadline_ms: 5000}
)";

double microseconds(duration span)
{
    return static_cast<double>(span.count()) / nanoseconds_per_microsecond;
}

bool grow(tools::local_deployment & deployment,
          std::size_t size,
          failure & reason)
{
    while (deployment.size() < size)
    {
        std::size_t const next = deployment.size();
        bool const is_archive = next == 1;
        if (!deployment.start_instance({absl::StrCat("instance-", next),
                                        is_archive ? "archive" : "listings",
                                        absl::StrCat("domain-", next % 3),
                                        {"--slots", "128"}},
                                       reason))
        {
            return false;
        }
    }
    return deployment.wait_until_joined(absl::Seconds(60));
}

duration total_processor_time(tools::local_deployment & deployment)
{
    duration total(0);
    for (std::size_t i = 0; i < deployment.size(); ++i)
    {
        total += benchmarks::processor_time(deployment.instance(i).node->id());
    }
    return total;
}

long most_memory(tools::local_deployment & deployment)
{
    long most = 0;
    for (std::size_t i = 0; i < deployment.size(); ++i)
    {
        most = std::max(
            most,
            benchmarks::resident_kilobytes(deployment.instance(i).node->id()));
    }
    return most;
}

void measure_idle(tools::local_deployment & deployment, int seconds)
{
    // the first exchanges after a start are not those of an idle node
    absl::SleepFor(absl::Seconds(5));
    duration const before = total_processor_time(deployment);
    absl::SleepFor(absl::Seconds(seconds));
    duration const used = total_processor_time(deployment) - before;
    auto const nodes = static_cast<double>(deployment.size());
    std::printf("capacity role=process members=%zu cpu_us_per_s=%.0f "
                "rss_kb=%ld\n",
                deployment.size(),
                microseconds(used) / nodes / seconds,
                most_memory(deployment));
    std::fflush(stdout);
}

std::size_t call_from_all(endpoint const & node, int calls)
{
    std::vector<std::thread> threads;
    std::vector<std::size_t> answered(callers, 0);
    threads.reserve(answered.size());
    for (auto & count : answered)
    {
        threads.emplace_back(
            [&count, &node, calls]()
            {
                detail::http_client client{detail::http_client_limits()};
                http_request const request{
                    "POST", "/archive/echo", {}, std::string(body_bytes, 'x')};
                detail::http_exchange_options options;
                options.timeout = std::chrono::seconds(5);
                for (int i = 0; i < calls; ++i)
                {
                    detail::http_exchange_report report;
                    failure reason;
                    count +=
                        client.exchange(node, request, options, report, reason)
                            .has_value();
                }
            });
    }
    std::size_t total = 0;
    for (std::size_t i = 0; i < threads.size(); ++i)
    {
        threads[i].join();
        total += answered[i];
    }
    return total;
}

// the processor time of all nodes for calls that one node takes in
void measure_calls(tools::local_deployment & deployment,
                   char const * way,
                   std::size_t node,
                   int calls)
{
    duration const before = total_processor_time(deployment);
    time_point const start = machine_clock().now();
    std::size_t const answered =
        call_from_all(deployment.ingress(node), calls / callers);
    duration const elapsed = machine_clock().now() - start;
    duration const used = total_processor_time(deployment) - before;
    std::printf(
        "capacity role=request way=%s calls=%zu calls_per_s=%.0f "
        "cpu_us_per_call=%.0f rss_kb=%ld\n",
        way,
        answered,
        static_cast<double>(answered) /
            std::chrono::duration<double>(elapsed).count(),
        microseconds(used) / static_cast<double>(answered),
        benchmarks::resident_kilobytes(deployment.instance(node).node->id()));
    std::fflush(stdout);
}

bool measure(std::string const & binaries,
             std::string const & work,
             tools::tool_options const & options,
             failure & reason)
{
    tools::local_deployment deployment(binaries, work);
    if (!deployment.start_platform(configuration_text, reason))
    {
        return false;
    }
    auto const calls = static_cast<int>(options.number("calls", 24000));
    auto const seconds = static_cast<int>(options.number("idle_s", 10));
    for (std::size_t const size : {2, 10, 40})
    {
        if (!grow(deployment, size, reason))
        {
            return false;
        }
        measure_idle(deployment, seconds);
        if (size == 2)
        {
            measure_calls(deployment, "local", 1, calls);
            measure_calls(deployment, "hop", 0, calls);
        }
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
    failure reason;
    bool const done =
        measure(std::filesystem::path(argv[0]).parent_path().string(),
                work,
                options,
                reason);
    std::filesystem::remove_all(work);
    if (!done)
    {
        std::fprintf(stderr, "%s\n", reason.describe().c_str());
    }
    return done ? 0 : 1;
}
