#include <gtest/gtest.h>

#include <algorithm> // max

#include <endivehinge/detail/gateway/loop_time.hpp>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief nodes of one service, one of whose targets states a rate limit, and
/// clients at all of them
class rate_limit_fleet : public gateway_fleet
{
public:
    rate_limit_fleet(std::size_t count, std::string const & limit)
    {
        this->start_members(count, "web");
        auto & limited = *this->members[0]->target;
        limited.extra_fields["Server-Limit"] = limit;
        limited.request_hook =
            [this, &limited](std::shared_ptr<detail::exchange> const & incoming)
        {
            this->arrivals.push_back(std::chrono::steady_clock::now());
            limited.respond(*incoming, 200);
        };
    }

    /// @brief sends requests to the nodes in turn, one every 10 ms
    void send_requests(duration length)
    {
        for (duration sent(0); sent < length; sent += milliseconds(10))
        {
            auto & member =
                *this->members[this->calls.size() % this->members.size()];
            this->calls.push_back(
                this->send(member,
                           "/safe/" + std::to_string(this->calls.size()),
                           "id-" + std::to_string(this->calls.size())));
            this->run_for(milliseconds(10));
        }
    }

    /// @brief the most arrivals at the limited target in any 4 s that begin at
    /// a time or later
    [[nodiscard]] std::size_t most_in_window(time_point from) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < this->arrivals.size(); ++first)
        {
            std::size_t count = 0;
            for (std::size_t i = first;
                 this->arrivals[first] >= from && i < this->arrivals.size() &&
                 this->arrivals[i] <= this->arrivals[first] + seconds(4);
                 ++i)
            {
                count += 1;
            }
            most = std::max(most, count);
        }
        return most;
    }

    [[nodiscard]] std::size_t answered_count() const
    {
        std::size_t count = 0;
        for (auto const & call : this->calls)
        {
            count += call->result && call->result->response.result_int() == 200
                         ? 1
                         : 0;
        }
        return count;
    }

    std::vector<time_point> arrivals;
    std::vector<std::shared_ptr<client_call>> calls;
};

// No node read the limit: a target that had named 4 requests a second got its
// whole share of the requests.
TEST(gateway_rate_limit, target_gets_no_more_requests_than_it_states)
{
    rate_limit_fleet fleet(3, "4");
    auto const start = std::chrono::steady_clock::now();
    fleet.send_requests(seconds(8));
    // the users allow one and a half times the limit and 5 more, in any 4 s
    // from 3 s after the target first stated it
    EXPECT_LE(fleet.most_in_window(start + seconds(3)), 29U);
    EXPECT_GT(fleet.arrivals.size(), 20U);
    EXPECT_GE(fleet.answered_count() * 100, fleet.calls.size() * 99);
}

TEST(gateway_rate_limit, limit_ends_when_the_target_no_longer_states_it)
{
    rate_limit_fleet fleet(2, "2");
    fleet.send_requests(seconds(2));
    auto const limited = fleet.arrivals.size();
    fleet.members[0]->target->extra_fields.clear();
    fleet.send_requests(seconds(3));
    EXPECT_GT(fleet.arrivals.size() - limited, 60U);
}

TEST(gateway_rate_limit, limit_that_cannot_be_read_costs_no_request)
{
    rate_limit_fleet fleet(2, "-1");
    fleet.send_requests(seconds(2));
    EXPECT_GT(fleet.arrivals.size(), 40U);
    EXPECT_EQ(fleet.answered_count(), fleet.calls.size());
}

// With no other target, what exceeds the limit is refused before its time
// limit.
TEST(gateway_rate_limit, requests_beyond_the_limit_are_refused_at_once)
{
    rate_limit_fleet fleet(1, "2");
    fleet.send_requests(seconds(3));
    std::size_t refused = 0;
    for (auto const & call : fleet.calls)
    {
        ASSERT_TRUE(fleet.run_until(
            [&call]
            {
                return call->result.has_value();
            }));
        auto const & response = call->result->response;
        refused += response.result_int() == 503 ? 1 : 0;
        EXPECT_TRUE(response.result_int() == 200 ||
                    !response["Retry-After"].empty());
    }
    EXPECT_GT(refused, 200U);
    EXPECT_LE(fleet.most_in_window(time_point()), 29U);
}

// The node beside the target has just started and has no response of it yet.
TEST(gateway_rate_limit, started_node_learns_the_limit_from_the_sender)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & target = fleet.members[0]->node->state.target;
    for (int i = 0; i < 2; ++i)
    {
        detail::dispatch_request request;
        request.message = detail::request_message{
            boost::beast::http::verb::get, "/safe/a", 11};
        request.target = target.entry()->id;
        request.service = service_name("web");
        request.route = "safe";
        request.urgency.deadline = detail::loop_now() + seconds(2);
        request.urgency.target_time = request.urgency.deadline;
        request.stated_rate = 2;
        static_cast<void>(target.run(
            std::move(request), [](detail::dispatch_result const &) {}, [] {}));
    }
    EXPECT_EQ(target.load().stated_rate, 2.0);
    EXPECT_GT(target.load().start_delay, milliseconds(300));
}

} // namespace
} // namespace endivehinge::tests
