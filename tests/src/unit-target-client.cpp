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
constexpr int askers = 16;
constexpr int questions_each = 4;
constexpr char const * alive =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

TEST(target_checks, keep_to_their_rate_in_a_storm)
{
    std::vector<tests::connection_script> const script(
        std::size_t{askers} * questions_each, tests::connection_script{alive});
    tests::scripted_server const server(script);
    machine_clock const time;
    http_client client{http_client_limits()};
    target_client target(client, time);
    target.set_extra_request_limits(0, checks_per_second);
    time_point const start = time.now();
    std::vector<std::thread> threads;
    threads.reserve(askers);
    for (int i = 0; i < askers; ++i)
    {
        threads.emplace_back(
            [&target, &server]()
            {
                for (int question = 0; question < questions_each; ++question)
                {
                    EXPECT_FALSE(target.is_gone({"127.0.0.1", server.port()}));
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

TEST(target_checks, find_a_target_that_is_gone)
{
    std::uint16_t free_port = 0;
    {
        tests::scripted_server const gone({});
        free_port = gone.port();
    }
    machine_clock const time;
    http_client client{http_client_limits()};
    target_client target(client, time);
    EXPECT_TRUE(target.is_gone({"127.0.0.1", free_port}));
}

} // namespace
} // namespace endivehinge::detail
