#include <gtest/gtest.h>

#include "gateway/gateway_fleet.hpp"
#include "gateway/repeating_target.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using call_pointer = std::shared_ptr<gateway_fleet::client_call>;

constexpr int request_count = 240;
// requests that are sent at once
constexpr int burst_size = 3;
// the slowdown that the node knows is older than it may be after this, so that
// the next request waits for a probe
constexpr milliseconds pause(12);

class gateway_late_response : public ::testing::TestWithParam<repetition>
{
protected:
    gateway_late_response()
    {
        this->fleet.start_members(1, "web");
        this->fleet.members[0]->target->crash();
        this->target = std::make_unique<repeating_target>(
            this->fleet.io,
            this->fleet.members[0]->target->address(),
            this->fleet.members[0]->target->id,
            GetParam());
    }

    void play(std::string const & prefix)
    {
        for (int i = 0; i < request_count; ++i)
        {
            auto const id = "id-" + std::to_string(i);
            this->calls.push_back(
                this->fleet.send(*this->fleet.members[0], prefix + id, id));
            if (i % burst_size == 0)
            {
                this->fleet.run_for(pause);
            }
        }
        for (auto const & call : this->calls)
        {
            EXPECT_TRUE(this->fleet.run_until(
                [&call]
                {
                    return call->result.has_value();
                }));
        }
    }

    void expect_own_answers() const
    {
        for (std::size_t i = 0; i < this->calls.size(); ++i)
        {
            auto const id = "id-" + std::to_string(i);
            auto const & result = *this->calls[i]->result;
            auto const status = result.response.result_int();
            if (status == 200)
            {
                EXPECT_EQ(result.response.body(), "ran " + id);
                EXPECT_NE(result.response["Server-Stamp"], "") << id;
                EXPECT_EQ(result.response["Request-Id"], id);
            }
            if (status == 503)
            {
                EXPECT_EQ(this->target->execution_count(id), 0U)
                    << id << " was refused, but ran";
            }
        }
    }

    gateway_fleet fleet;
    std::unique_ptr<repeating_target> target;
    std::vector<call_pointer> calls;
};

// A late copy of a response ended a health probe on a shared connection; the
// next client got the health response as its success.
TEST_P(gateway_late_response, safe_requests_get_their_own_answers)
{
    this->play("/safe/");
    EXPECT_GT(this->target->repeated_count, 10U);
    this->expect_own_answers();
}

// A late copy of a refusal without an ID refused the next request, which ran,
// and was sent to the target again.
TEST_P(gateway_late_response, unsafe_requests_run_once_and_refusals_are_true)
{
    this->play("/unsafe/");
    EXPECT_GT(this->target->repeated_count, 10U);
    this->expect_own_answers();
    for (auto const & id : this->target->executed_ids)
    {
        EXPECT_EQ(this->target->execution_count(id), 1U) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    gateway_late_response,
    ::testing::Values(
        repetition{"with_length", 5, 0, true, false, false},
        repetition{"in_chunks", 5, 0, true, false, true},
        repetition{"identified_refusals", 3, 4, true, true, false},
        repetition{"unidentified_refusals", 3, 4, false, true, false}),
    [](auto const & parameter)
    {
        return std::string(parameter.param.name);
    });

} // namespace
} // namespace endivehinge::tests
