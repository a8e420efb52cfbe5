#include <memory> // unique_ptr
#include <random> // mt19937
#include <string> // string
#include <vector> // vector

#include <gtest/gtest.h>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace http = boost::beast::http;

constexpr double exposed_share = 0.1;
constexpr double exposed_slack = 50;
// 250 requests a second, a usual load of a service with roll-outs
constexpr duration request_interval = milliseconds(4);

/// @brief nodes beside targets of two versions, under load
class gateway_rollout : public testing::Test
{
protected:
    void SetUp() override
    {
        detail::rollout_bounds bounds;
        bounds.exposed_share = exposed_share;
        bounds.exposed_slack = exposed_slack;
        this->fleet.rollouts = bounds;
    }

    void start_old(std::size_t count)
    {
        this->fleet.start_members(count, "web");
        this->old_count = count;
    }

    void add_new(std::size_t count, std::string const & version = "v2")
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            auto & member = this->fleet.add("web", "d1", version);
            ASSERT_EQ(this->fleet.report(member, "ready", 1), 200U);
        }
    }

    void order(std::string const & version, double length_s)
    {
        this->ordered_at_sent = this->sent;
        this->fleet.store.put("rollouts",
                              "web",
                              {{"service", "web"},
                               {"targetVersion", version},
                               {"durationS", length_s}});
    }

    std::string state()
    {
        auto const status = this->fleet.store.status_of("rollouts", "web");
        return status.is_object() ? status.value("state", "") : "";
    }

    /// @brief sends requests to the first node that is not killed, at a
    /// constant rate, until a condition holds
    /// @return whether it held within the limit
    bool load_until(duration limit, std::function<bool()> const & condition)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        auto next = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < end)
        {
            if (condition())
            {
                return true;
            }
            if (std::chrono::steady_clock::now() >= next)
            {
                next += request_interval;
                this->send_one();
            }
            this->fleet.io.run_one_for(milliseconds(1));
        }
        return condition();
    }

    void load_for(duration length)
    {
        this->load_until(length,
                         []
                         {
                             return false;
                         });
    }

    void send_one()
    {
        auto & member = *this->fleet.members[this->entry_member];
        if (!this->client)
        {
            this->client = std::make_unique<detail::upstream>(
                this->fleet.io,
                member.node->state.settings.client_listener,
                detail::upstream_options{});
        }
        this->sent += 1;
        detail::request_message message{http::verb::get, "/safe/x", 11};
        message.set(http::field::host, "h.example");
        message.set("Request-Id", "r" + std::to_string(this->sent));
        message.set("Deadline-Ms", "2000");
        message.keep_alive(true);
        message.prepare_payload();
        detail::call_options options;
        options.deadline = std::chrono::steady_clock::now() + seconds(3);
        auto const connection = this->client->send(
            std::move(message),
            options,
            false,
            [this](detail::call_result const & result)
            {
                bool const is_good =
                    result.status == detail::call_status::answered &&
                    result.response.result() == http::status::ok;
                (is_good ? this->good : this->bad) += 1;
            });
        ASSERT_NE(connection, nullptr);
    }

    /// @brief the n-th response of a target, and each second one after it, is a
    /// server error
    void make_bad(fleet_member & member)
    {
        auto & target = *member.target;
        target.request_hook =
            [&target, count = 0](
                std::shared_ptr<detail::exchange> const & incoming) mutable
        {
            count += 1;
            target.respond(*incoming, count % 2 == 0 ? 500 : 200);
        };
    }

    void make_new_bad()
    {
        for (std::size_t i = this->old_count; i < this->fleet.members.size();
             ++i)
        {
            this->make_bad(*this->fleet.members[i]);
        }
    }

    std::size_t executed(std::size_t first, std::size_t last) const
    {
        std::size_t sum = 0;
        for (auto i = first; i < last; ++i)
        {
            sum += this->fleet.members[i]->target->executed_ids.size();
        }
        return sum;
    }

    std::size_t executed_by_new() const
    {
        return this->executed(this->old_count, this->fleet.members.size());
    }

    void expect_exposure_kept() const
    {
        auto const arrivals =
            static_cast<double>(this->sent - this->ordered_at_sent);
        EXPECT_LE(static_cast<double>(this->executed_by_new()),
                  exposed_share * arrivals + exposed_slack);
    }

    std::size_t conclusions_written()
    {
        std::size_t count = 0;
        for (auto const & status : this->fleet.store.status_writes)
        {
            auto const state = status.value("state", "");
            count += state == "completed" || state == "rolled_back" ? 1 : 0;
        }
        return count;
    }

    fleet_member * coordinator()
    {
        for (auto const & member : this->fleet.members)
        {
            if (member->node && member->node->rollouts.is_coordinator())
            {
                return member.get();
            }
        }
        return nullptr;
    }

    bool wait_for_state(std::string const & wanted, duration limit)
    {
        return this->load_until(limit,
                                [this, &wanted]
                                {
                                    return this->state() == wanted;
                                });
    }

    gateway_fleet fleet;
    std::unique_ptr<detail::upstream> client;
    std::size_t old_count = 0;
    std::size_t entry_member = 0;
    std::size_t sent = 0;
    std::size_t ordered_at_sent = 0;
    std::size_t good = 0;
    std::size_t bad = 0;
};

// without the gate and the coordinator, a version that fails half of its
// requests would get its part of all traffic
TEST_F(gateway_rollout, bad_version_is_rolled_back_within_its_exposure)
{
    this->start_old(4);
    this->load_for(seconds(1));
    this->order("v2", 12);
    this->add_new(2);
    this->make_new_bad();
    ASSERT_TRUE(this->wait_for_state("rolled_back", seconds(12)));
    EXPECT_GT(this->executed_by_new(), 0U);
    this->load_for(milliseconds(300));
    auto const executed_before = this->executed_by_new();
    this->load_for(seconds(1));
    EXPECT_EQ(this->executed_by_new(), executed_before)
        << "requests after the conclusion";
    this->expect_exposure_kept();
    EXPECT_EQ(this->conclusions_written(), 1U);
}

// an old target that gets a request after `completed` loses it, since it stops
// at once
TEST_F(gateway_rollout, good_version_is_completed_and_old_targets_get_nothing)
{
    this->start_old(4);
    this->load_for(seconds(1));
    this->order("v2", 12);
    this->add_new(3);
    std::size_t executed_at_completion = 0;
    bool const is_completed =
        this->load_until(seconds(17),
                         [this, &executed_at_completion]
                         {
                             executed_at_completion =
                                 this->executed(0, this->old_count);
                             return this->state() == "completed";
                         });
    ASSERT_TRUE(is_completed) << this->fleet.store.status_of("rollouts", "web");
    this->load_for(seconds(2));
    EXPECT_EQ(this->executed(0, this->old_count), executed_at_completion);
    EXPECT_EQ(this->conclusions_written(), 1U);
    EXPECT_EQ(this->bad, 0U);
}

// a coordinator that is killed after it decided, before the store has its
// conclusion, must not leave the roll-out without one
TEST_F(gateway_rollout, another_node_concludes_after_the_coordinator_is_killed)
{
    this->start_old(4);
    this->load_for(seconds(1));
    this->order("v2", 12);
    this->add_new(2);
    this->make_new_bad();
    this->fleet.store.ignored_status = "rolled_back";
    ASSERT_TRUE(this->load_until(seconds(10),
                                 [this]
                                 {
                                     return this->fleet.store.ignored_writes >
                                            0;
                                 }));
    auto * const killed = this->coordinator();
    ASSERT_NE(killed, nullptr);
    if (killed == this->fleet.members[0].get())
    {
        this->entry_member = 1;
        this->client.reset();
    }
    killed->node.reset();
    this->fleet.store.ignored_status.clear();
    EXPECT_TRUE(this->wait_for_state("rolled_back", seconds(12)));
    this->expect_exposure_kept();
    EXPECT_EQ(this->conclusions_written(), 1U);
}

// a coordinator that was replaced while it was paused must obey the status of
// the other one instead of writing its own
TEST_F(gateway_rollout, coordinator_yields_to_another_ones_status)
{
    this->start_old(3);
    this->order("v2", 8);
    this->add_new(2);
    this->make_new_bad();
    ASSERT_TRUE(this->wait_for_state("running", seconds(5)));
    auto status = this->fleet.store.status_of("rollouts", "web");
    status["coordinator"] = "node-of-another-build";
    status["term"] = 7;
    this->fleet.store.put_status("rollouts", "web", status);
    EXPECT_TRUE(this->load_until(seconds(2),
                                 [this]
                                 {
                                     return this->coordinator() == nullptr;
                                 }));
    EXPECT_TRUE(this->wait_for_state("rolled_back", seconds(12)));
    EXPECT_GT(this->fleet.store.status_of("rollouts", "web").at("term"), 7);
    this->expect_exposure_kept();
    EXPECT_EQ(this->conclusions_written(), 1U);
}

// a write whose response is lost was applied; its repetition gets 409, which
// must not end the term
TEST_F(gateway_rollout, lost_response_to_a_status_write_is_no_conflict)
{
    this->start_old(2);
    this->fleet.store.status_responses_to_drop = 1;
    this->order("v2", 8);
    this->add_new(2);
    EXPECT_TRUE(this->load_until(seconds(5),
                                 [this]
                                 {
                                     return this->coordinator() != nullptr;
                                 }));
    EXPECT_EQ(this->fleet.store.status_of("rollouts", "web").at("term"), 1);
}

// the store returns from a copy in which the roll-out still runs
TEST_F(gateway_rollout, restored_store_does_not_bring_back_a_version)
{
    this->start_old(3);
    this->order("v2", 10);
    this->add_new(2);
    this->make_new_bad();
    ASSERT_TRUE(this->wait_for_state("running", seconds(5)));
    auto const running_revision = this->fleet.store.current_revision();
    ASSERT_TRUE(this->wait_for_state("rolled_back", seconds(10)));
    this->load_for(seconds(1));
    auto const executed_before = this->executed_by_new();
    this->fleet.store.restore(running_revision);
    ASSERT_EQ(this->state(), "running");
    EXPECT_TRUE(this->wait_for_state("rolled_back", seconds(5)));
    this->load_for(seconds(1));
    EXPECT_EQ(this->executed_by_new(), executed_before);
}

// the nodes of a version that no order allows must not open with time
TEST_F(gateway_rollout, bad_orders_end_with_a_true_status_and_lose_nothing)
{
    this->start_old(2);
    this->fleet.store.put(
        "rollouts",
        "unknown",
        {{"service", "unknown"}, {"targetVersion", "v2"}, {"durationS", 1}});
    this->fleet.store.put("rollouts", "web", {{"service", 5}});
    this->load_for(seconds(1));
    EXPECT_EQ(this->fleet.store.status_of("rollouts", "unknown"), nullptr);
    EXPECT_EQ(this->fleet.store.status_of("rollouts", "web"), nullptr);
    // without targets of the version, and without time
    this->order("v2", 0);
    EXPECT_TRUE(this->wait_for_state("rolled_back", seconds(8)));
    this->order("v3", 4);
    EXPECT_TRUE(this->wait_for_state("running", seconds(5)));
    // a second order during the first one
    this->order("v4", 1);
    EXPECT_TRUE(this->load_until(
        seconds(8),
        [this]
        {
            auto const status = this->fleet.store.status_of("rollouts", "web");
            return status.at("targetVersion") == "v4" &&
                   status.at("state") == "rolled_back";
        }));
    this->order("v5", 20);
    EXPECT_TRUE(this->wait_for_state("running", seconds(5)));
    this->fleet.store.erase("rollouts", "web");
    EXPECT_TRUE(this->load_until(seconds(5),
                                 [this]
                                 {
                                     return this->coordinator() == nullptr;
                                 }));
    this->load_for(milliseconds(500));
    EXPECT_EQ(this->bad, 0U);
}

// a node must not pay for a feature that its deployment does not use
TEST_F(gateway_rollout, nothing_is_read_or_written_without_the_setting)
{
    this->fleet.rollouts.reset();
    this->start_old(2);
    this->order("v2", 5);
    this->add_new(1);
    // an idle target is preferred by the node beside it
    this->entry_member = 2;
    this->load_for(seconds(3));
    EXPECT_EQ(this->fleet.store.request_count_of("rollouts"), 0U);
    EXPECT_FALSE(
        this->fleet.store.spec("targets", "node-0").contains("version"));
    EXPECT_GT(this->executed_by_new(), 0U);
}

} // namespace
} // namespace endivehinge::tests
