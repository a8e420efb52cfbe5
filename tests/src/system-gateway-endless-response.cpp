#include <gtest/gtest.h>

#include <sys/resource.h> // getrusage

#include "gateway/endless_server.hpp"
#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

// a quarter of the memory limit of a node
constexpr long max_growth_kib = 64L * 1024;

// of this process, since its start
long peak_memory_kib()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

struct endless_case
{
    char const * name;
    std::string beginning;
    std::string repeated;
};

class gateway_endless_response : public ::testing::TestWithParam<endless_case>
{
};

// A target that sends bytes without end made its node grow by 64 MiB for each
// connection, beyond the memory of its machine.
TEST_P(gateway_endless_response, does_not_fill_the_memory_of_the_node)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & target = *fleet.members[0]->target;
    target.crash();
    auto const peak_before = peak_memory_kib();
    endless_server server(
        fleet.io, target.address(), GetParam().beginning, GetParam().repeated);
    std::vector<std::shared_ptr<gateway_fleet::client_call>> calls;
    calls.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        calls.push_back(fleet.send(
            *fleet.members[0], "/safe/a", "id-" + std::to_string(i)));
    }
    std::size_t answered = 0;
    for (auto const & call : calls)
    {
        ASSERT_TRUE(fleet.run_until(
            [&call]
            {
                return call->result.has_value();
            }));
        answered += call->result->response.result_int() == 200 ? 1 : 0;
    }
    EXPECT_GT(answered, 0U);
    fleet.run_for(milliseconds(1500));
    EXPECT_LE(peak_memory_kib() - peak_before, max_growth_kib);
    // the health probes go on, one at a time
    EXPECT_LE(server.open_connections(), 1U);
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[1], "/safe/b", "after")
                  .response.result_int(),
              200U);
}

std::string const chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";

INSTANTIATE_TEST_SUITE_P(
    cases,
    gateway_endless_response,
    ::testing::Values(
        endless_case{"body_in_chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     chunk},
        endless_case{"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", chunk},
        endless_case{"body_of_huge_length",
                     "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                     chunk},
        endless_case{"chunk_extension_without_end",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                     std::string(0x8000, 'x')},
        endless_case{"trailer_fields_without_end",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "1\r\nx\r\n0\r\n",
                     "X-Field: " + std::string(100, 'x') + "\r\n"},
        endless_case{"body_of_a_length_beyond_the_memory",
                     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                     chunk},
        endless_case{"head_with_many_fields",
                     "HTTP/1.1 200 OK\r\n",
                     "X-Field: " + std::string(100, 'x') + "\r\n"},
        endless_case{
            "head_with_one_field", "HTTP/1.1 200 OK\r\nX-Field: ", chunk},
        endless_case{"informational_responses",
                     "HTTP/1.1 100 Continue\r\n\r\n",
                     "HTTP/1.1 102 Processing\r\n\r\n"},
        endless_case{"responses_to_another_request",
                     "HTTP/1.1 100 Continue\r\n\r\n",
                     "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                     "Content-Length: 0\r\n\r\n"},
        endless_case{"no_response", "garbage ", chunk}),
    [](auto const & parameter)
    {
        return std::string(parameter.param.name);
    });

} // namespace
} // namespace endivehinge::tests
