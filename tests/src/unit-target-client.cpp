#include <thread> // thread
#include <vector> // vector

#include <gtest/gtest.h>

#include <endivehinge/detail/node/target_client.hpp>

#include "scripted_server.hpp"

namespace endivehinge::detail
{
namespace
{

constexpr double checks_per_second = 20;
constexpr int thread_count = 16;
constexpr int checks_per_thread = 4;
constexpr char const * ok_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

TEST(target_client_check, rate_is_limited_for_concurrent_callers)
{
    std::vector<tests::connection_script> const script(
        std::size_t{thread_count} * checks_per_thread,
        tests::connection_script{ok_response});
    tests::scripted_server const server(script);
    machine_clock const time;
    http_client client{http_client_limits()};
    target_client target(client, time);
    target.set_extra_request_limits(0, checks_per_second);
    time_point const start = time.now();
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(
            [&target, &server]()
            {
                for (int check = 0; check < checks_per_thread; ++check)
                {
                    EXPECT_FALSE(
                        target.is_unreachable({"127.0.0.1", server.port()}));
                }
            });
    }
    for (auto & thread : threads)
    {
        thread.join();
    }
    double const elapsed_s =
        std::chrono::duration<double>(time.now() - start).count();
    EXPECT_LE(server.requests(), 1 + (elapsed_s * checks_per_second));
}

TEST(target_client_check, closed_port_is_unreachable)
{
    std::uint16_t closed_port = 0;
    {
        tests::scripted_server const closed_server({});
        closed_port = closed_server.port();
    }
    machine_clock const time;
    http_client client{http_client_limits()};
    target_client target(client, time);
    EXPECT_TRUE(target.is_unreachable({"127.0.0.1", closed_port}));
}

} // namespace
} // namespace endivehinge::detail
