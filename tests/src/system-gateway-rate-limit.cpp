#include <gtest/gtest.h>

#include <algorithm> // max

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

} // namespace
} // namespace endivehinge::tests
