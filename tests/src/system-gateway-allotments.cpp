#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/peer_node.hpp>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using detail::call_status;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief sends the requests of one account and counts the statuses
class account_load
{
public:
    explicit account_load(gateway_fleet & nodes)
        : fleet(nodes)
    {
    }

    /// @brief sends evenly to the given members
    void run(double per_second,
             std::vector<std::size_t> const & entries,
             duration length)
    {
        auto const begin = std::chrono::steady_clock::now();
        std::size_t sent = 0;
        while (std::chrono::steady_clock::now() - begin < length)
        {
            auto const elapsed = std::chrono::duration<double>(
                std::chrono::steady_clock::now() - begin);
            while (static_cast<double>(sent) < elapsed.count() * per_second)
            {
                this->calls.push_back(this->fleet.send(
                    *this->fleet.members[entries[sent++ % entries.size()]],
                    "/safe/a",
                    "id-" + std::to_string(this->calls.size())));
            }
            this->fleet.run_for(milliseconds(2));
        }
    }

    /// @brief waits for all responses
    std::size_t count(unsigned status)
    {
        EXPECT_TRUE(this->fleet.run_until(
            [this]
            {
                for (auto const & call : this->calls)
                {
                    if (!call->result)
                    {
                        return false;
                    }
                }
                return true;
            }));
        std::size_t found = 0;
        for (auto const & call : this->calls)
        {
            bool const matches =
                call->result && call->result->status == call_status::answered &&
                call->result->response.result_int() == status;
            found += matches ? 1 : 0;
        }
        return found;
    }

    gateway_fleet & fleet;
    std::vector<std::shared_ptr<gateway_fleet::client_call>> calls;
};

class allotments : public testing::Test
{
protected:
    void start(std::size_t members, double rate, double burst)
    {
        this->fleet.account_bounds.overage_share = 0.1;
        this->fleet.account_bounds.overage_slack = 20;
        this->fleet.tenants = {
            {"a",
             {{"apiKeys", {"key-a"}}, {"ratePerS", rate}, {"burst", burst}}}};
        this->fleet.request_fields = {{"Authorization", "Token key-a"}};
        this->fleet.start_members(members, "web");
    }

    [[nodiscard]] std::size_t owner() const
    {
        allotment_directory directory(node_name("observer"));
        allotment_directory::node_list nodes;
        for (auto const & member : this->fleet.members)
        {
            nodes.push_back({member->node->state.settings.node,
                             endpoint{"127.0.0.1", 1},
                             {},
                             failure_domain("d1")});
        }
        directory.set_nodes(nodes);
        auto const name = *directory.owner(account_name("a"));
        return std::stoul(name.value().substr(5));
    }

    /// @brief the nodes that grant tokens of their own
    [[nodiscard]] std::vector<std::size_t> owners() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < this->fleet.members.size(); ++i)
        {
            auto & node = *this->fleet.members[i]->node;
            node.allotments.write_metrics();
            if (node.state.metrics.to_text().find(
                    "allotment_accounts_owned 1") != std::string::npos)
            {
                found.push_back(i);
            }
        }
        return found;
    }

    gateway_fleet fleet;
};

// Guards against a fleet that grants each node the whole allotment
TEST_F(allotments, account_at_five_times_its_rate_stays_within_the_bound)
{
    this->start(4, 20, 20);
    account_load load(this->fleet);
    load.run(100, {0, 1, 2, 3}, seconds(3));
    auto const run = load.count(200);
    auto const refused = load.count(429);
    EXPECT_LE(run, (20 * 3 + 20) * 1.1 + 20);
    EXPECT_GE(run, 60U);
    EXPECT_GE(run + refused, load.calls.size() * 95 / 100);
    for (auto const & call : load.calls)
    {
        if (call->result->response.result_int() == 429)
        {
            EXPECT_FALSE(call->result->response["Retry-After"].empty());
        }
    }
}

// Guards against refusals of an account that enters through one node
TEST_F(allotments, account_within_its_rate_through_one_node_is_not_refused)
{
    this->start(4, 40, 40);
    account_load load(this->fleet);
    load.run(25, {(this->owner() + 1) % 4}, seconds(3));
    EXPECT_EQ(load.count(200), load.calls.size());
}

// Guards against an outage of the accounts of a node that was killed
TEST_F(allotments, death_of_the_owner_is_bridged)
{
    this->start(4, 40, 40);
    auto const owner = this->owner();
    account_load load(this->fleet);
    auto const entry = (owner + 1) % 4;
    load.run(20, {entry}, seconds(1));
    auto & listener = this->fleet.members[owner]->node->peer_listener;
    listener.abort();
    load.run(20, {entry}, seconds(2));
    EXPECT_EQ(load.count(429), 0U);
    EXPECT_GE(load.count(200), load.calls.size() * 95 / 100);
}

// A node whose connections were refused was taken for dead, although it still
// reached the others: its account had two owners.
TEST_F(allotments, owner_behind_refused_connections_is_the_only_one)
{
    constexpr std::size_t count = 5;
    // until a node that has lost an account discards its ledger
    constexpr milliseconds review_time(300);
    this->start(count, 60, 60);
    account_load load(this->fleet);
    load.run(60, {0, 1, 2, 3, 4}, seconds(1));
    ASSERT_EQ(this->owners().size(), 1U);
    auto const first = this->owners().front();
    this->fleet.members[first]->node->peer_listener.abort();
    duration overlap{0};
    for (int i = 0; i < 150; ++i)
    {
        load.run(60, {0, 1, 2, 3, 4}, milliseconds(20));
        overlap += milliseconds(this->owners().size() > 1 ? 20 : 0);
    }
    EXPECT_LE(overlap, review_time);
    ASSERT_EQ(this->owners().size(), 1U);
    EXPECT_NE(this->owners().front(), first);
}

// The target beside the owner leaves while its node cannot reach the store, and
// the machine is gone some time later. Its entry stays in all views.
TEST_F(allotments, departure_of_the_owner_is_bridged_without_the_store)
{
    this->start(4, 40, 40);
    auto const owner = this->owner();
    auto const entry = (owner + 1) % 4;
    account_load load(this->fleet);
    load.run(20, {entry}, seconds(1));
    this->fleet.store.status = 503;
    // it is not confirmed, since the store does not hold it
    EXPECT_EQ(this->fleet.report(*this->fleet.members[owner], "leave", 2),
              503U);
    load.run(20, {entry}, seconds(1));
    EXPECT_FALSE(
        this->fleet.store.spec("targets", "node-" + std::to_string(owner))
            .is_null());
    // accepts connections from now on, but answers nothing
    this->fleet.members[owner]->node->peer_listener.abort();
    boost::asio::ip::tcp::acceptor const silent(
        this->fleet.io,
        {boost::asio::ip::make_address("127.0.0.1"),
         this->fleet.members[owner]->node->state.settings.peer_listener.port});
    load.run(20, {entry}, seconds(2));
    EXPECT_GE(load.count(200), load.calls.size() * 95 / 100);
}

} // namespace
} // namespace endivehinge::tests
