#include <set> // set

#include <gtest/gtest.h>

#include <endivehinge/coordination/relay_tree.hpp>

namespace endivehinge
{
namespace
{

endpoint address_of(std::size_t number)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
}

node_name name_of(std::size_t number)
{
    return node_name("node-" + std::to_string(number));
}

std::vector<replication_candidate> others_of(std::size_t own,
                                             std::size_t count,
                                             std::set<std::size_t> const & lost)
{
    std::vector<replication_candidate> others;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (i != own)
        {
            others.push_back({name_of(i), address_of(i), lost.count(i) > 0});
        }
    }
    return others;
}

/// @brief the nodes that a change reaches from the one that follows the store
std::set<std::size_t> reached_nodes(std::size_t count,
                                    std::set<std::size_t> const & lost)
{
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (lost.count(i) == 0 &&
            !choose_replication_source(
                 name_of(i), others_of(i, count, lost), {})
                 .peer)
        {
            pending.push_back(i);
        }
    }
    EXPECT_EQ(pending.size(), 1U) << "one node follows the store";
    std::set<std::size_t> reached(pending.begin(), pending.end());
    while (!pending.empty())
    {
        auto const node = pending.back();
        pending.pop_back();
        auto const children =
            relay_children(name_of(node), others_of(node, count, lost));
        EXPECT_LE(children.size(), 5U);
        for (auto const & child : children)
        {
            std::size_t const number = child.port - 1000U;
            EXPECT_TRUE(reached.insert(number).second)
                << "each node is notified once";
            pending.push_back(number);
        }
    }
    return reached;
}

TEST(relay_tree, reaches_each_node_once)
{
    for (std::size_t const count : {1U, 2U, 5U, 6U, 24U, 60U})
    {
        EXPECT_EQ(reached_nodes(count, {}).size(), count);
    }
}

TEST(relay_tree, passes_over_nodes_that_failed)
{
    std::set<std::size_t> const lost = {0, 3, 4, 11, 19};
    auto const reached = reached_nodes(24, lost);
    EXPECT_EQ(reached.size(), 19U);
    for (auto const node : lost)
    {
        EXPECT_EQ(reached.count(node), 0U);
    }
}

} // namespace
} // namespace endivehinge
