#include <gtest/gtest.h>

#include <string> // to_string

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

// of gateway_fleet::configure()
constexpr double cold_requests_per_s = 50;
constexpr milliseconds request_interval(4);

/// @brief a node beside a target that states its load in each response
class gateway_cold_target : public ::testing::Test
{
protected:
    gateway_cold_target()
    {
        this->fleet.start_members(2, "web");
        EXPECT_EQ(this->fleet.report(*this->fleet.members[1], "draining", 2),
                  200U);
        EXPECT_TRUE(this->fleet.run_until(
            [this]
            {
                return this->fleet.members[1]
                           ->node->state.fleet
                           .ready_targets(service_name("web"))
                           .size() == 1;
            }));
    }

    [[nodiscard]] target_stand_in & target()
    {
        return *this->fleet.members[0]->target;
    }

    /// @brief sends requests for a while, from both nodes in turn
    /// @return how many of them were sent
    std::size_t send_for(duration length)
    {
        auto const before = this->calls.size();
        auto const end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            auto const number = std::to_string(this->calls.size());
            this->calls.push_back(
                this->fleet.send(*this->fleet.members[this->calls.size() % 2],
                                 "/safe/" + number,
                                 "id-" + number));
            this->fleet.run_for(request_interval);
        }
        return this->calls.size() - before;
    }

    gateway_fleet fleet;
    std::vector<std::shared_ptr<gateway_fleet::client_call>> calls;
};

// Each response stated the load and stood in for a health probe, but only
// probes state that the target is cold.
TEST_F(gateway_cold_target, target_that_becomes_cold_again_is_not_overrun)
{
    this->send_for(milliseconds(1500));
    this->target().health_fields["Cold-Ms"] = "3000";
    auto const before = this->target().executed_ids.size();
    auto const sent = this->send_for(milliseconds(950));
    auto const & bound =
        this->fleet.members[0]->node->state.settings.bounds.cold_rate;
    auto const allowed = cold_requests_per_s * bound.factor + bound.slack;
    auto const executed = this->target().executed_ids.size() - before;
    EXPECT_LE(static_cast<double>(executed), allowed) << sent << " were sent";
}

// What is known of the target's cold must not cost a probe for each request.
TEST_F(gateway_cold_target, warm_target_gets_its_full_rate_with_few_probes)
{
    auto const probes = this->target().probe_count;
    auto const sent = this->send_for(milliseconds(1500));
    this->fleet.run_for(milliseconds(100));
    EXPECT_EQ(this->target().executed_ids.size(), sent);
    EXPECT_LE(this->target().probe_count - probes, sent / 10);
}

// A target that does not say whether it is cold is not taken for a warm one.
TEST_F(gateway_cold_target, unanswered_health_path_limits_the_rate)
{
    this->send_for(milliseconds(500));
    this->target().answers_probes = false;
    this->send_for(milliseconds(1200));
    auto const before = this->target().executed_ids.size();
    this->send_for(milliseconds(950));
    auto const & bound =
        this->fleet.members[0]->node->state.settings.bounds.cold_rate;
    EXPECT_LE(static_cast<double>(this->target().executed_ids.size() - before),
              cold_requests_per_s * bound.factor + bound.slack);
}

} // namespace
} // namespace endivehinge::tests
