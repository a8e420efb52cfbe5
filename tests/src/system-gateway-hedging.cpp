#include <gtest/gtest.h>

#include <algorithm> // all_of
#include <string>    // string, to_string
#include <utility>   // exchange, pair
#include <vector>    // vector

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

/// @brief a node without a target of its own, and three targets of a service.
/// The first target that gets a request after slow_down() keeps it
class hedging_fleet : public gateway_fleet
{
public:
    explicit hedging_fleet(double share)
    {
        this->hedge_share = share;
        this->start_members(3, "web");
        this->sender = &this->add("other");
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->sender->node->state.fleet
                           .ready_targets(service_name("web"))
                           .size() == 3;
            }));
    }

    /// @brief sends requests at once, so that all targets get some and their
    /// loads and the usual time of a request are known
    void warm_up(std::string const & path)
    {
        for (auto const & member : this->members)
        {
            member->target->request_hook =
                [this, target = member->target.get()](auto const & incoming)
            {
                this->held.emplace_back(target, incoming);
            };
        }
        constexpr std::size_t warm_up_requests = 24;
        std::vector<std::shared_ptr<client_call>> calls;
        calls.reserve(warm_up_requests);
        for (std::size_t i = 0; i < warm_up_requests; ++i)
        {
            calls.push_back(
                this->send(*this->sender, path, "warm-" + std::to_string(i)));
        }
        this->run_for(milliseconds(30));
        EXPECT_TRUE(this->run_until(
            [this, &calls]
            {
                for (auto const & [target, incoming] :
                     std::exchange(this->held, {}))
                {
                    target->respond(*incoming, 200);
                }
                return std::all_of(calls.begin(),
                                   calls.end(),
                                   [](auto const & call)
                                   {
                                       return call->result.has_value();
                                   });
            }));
    }

    void slow_down(unsigned status_of_others = 200)
    {
        for (auto const & member : this->members)
        {
            auto & target = *member->target;
            target.request_hook =
                [this, &target, status_of_others](auto const & incoming)
            {
                if (this->kept == nullptr)
                {
                    this->kept = incoming;
                    this->slow_target = &target;
                    return;
                }
                target.respond(*incoming, status_of_others);
            };
        }
    }

    [[nodiscard]] bool has_metric(std::string const & line) const
    {
        return this->sender->node->state.metrics.to_text().find(
                   "endivehinge_" + line + "\n") != std::string::npos;
    }

    std::vector<std::pair<target_stand_in *, std::shared_ptr<detail::exchange>>>
        held;
    fleet_member * sender = nullptr;
    std::shared_ptr<detail::exchange> kept;
    target_stand_in * slow_target = nullptr;
};

// A target that stands still held its requests until their deadline.
TEST(gateway_hedging, a_request_at_a_slow_target_is_answered_by_another)
{
    hedging_fleet fleet(0.2);
    fleet.warm_up("/safe/a");
    fleet.slow_down();
    auto const result = fleet.send_and_wait(*fleet.sender, "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 200U);
    EXPECT_EQ(fleet.execution_count("id-1"), 2U);
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.slow_target->cancelled_count == 1;
        }))
        << "the slower attempt is cancelled";
    EXPECT_TRUE(fleet.has_metric("hedges_sent_total 1"))
        << fleet.sender->node->state.metrics.to_text();
    EXPECT_TRUE(fleet.has_metric("hedges_won_total 1"));
}

// guards against a second run of a request that may run once
TEST(gateway_hedging, an_unsafe_request_is_sent_once)
{
    hedging_fleet fleet(0.2);
    fleet.warm_up("/unsafe/a");
    fleet.slow_down();
    auto const call = fleet.send(*fleet.sender, "/unsafe/a", "id-1");
    fleet.run_for(milliseconds(400));
    EXPECT_FALSE(call->result);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
}

TEST(gateway_hedging, is_off_by_default)
{
    hedging_fleet fleet(detail::gateway_settings().hedge_share);
    fleet.warm_up("/safe/a");
    fleet.slow_down();
    auto const call = fleet.send(*fleet.sender, "/safe/a", "id-1");
    fleet.run_for(milliseconds(400));
    EXPECT_FALSE(call->result);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
}

// guards against a request that ends with the failure of its second attempt
TEST(gateway_hedging, a_failed_second_attempt_does_not_end_the_first)
{
    hedging_fleet fleet(0.2);
    fleet.warm_up("/safe/a");
    fleet.slow_down(500);
    auto const call = fleet.send(*fleet.sender, "/safe/a", "id-1");
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.execution_count("id-1") == 2;
        }));
    fleet.run_for(milliseconds(50));
    EXPECT_FALSE(call->result);
    fleet.slow_target->respond(*fleet.kept, 200);
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
    EXPECT_TRUE(fleet.has_metric("hedges_lost_total 1"));
}

// guards against the same for a refusal
TEST(gateway_hedging, a_refused_second_attempt_does_not_end_the_first)
{
    hedging_fleet fleet(0.2);
    fleet.warm_up("/safe/a");
    fleet.slow_down();
    // the sender does not know this yet
    fleet.members[1]->node->state.target.set_evacuated(true);
    fleet.members[2]->node->state.target.set_evacuated(true);
    auto const call = fleet.send(*fleet.sender, "/safe/a", "id-1");
    fleet.run_for(milliseconds(300));
    EXPECT_FALSE(call->result);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
    fleet.slow_target->respond(*fleet.kept, 200);
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
}

} // namespace
} // namespace endivehinge::tests
