#include <gtest/gtest.h>

#include <random> // mt19937

#include <endivehinge/coordination/object_copy.hpp>
#include <endivehinge/coordination/replication_source.hpp>

namespace endivehinge
{
namespace
{

replicated_object object(std::string name, std::uint64_t version)
{
    return {std::move(name), object_version(version), "content", false};
}

replicated_object deletion(std::string name, std::uint64_t version)
{
    return {std::move(name), object_version(version), "", true};
}

TEST(object_copy, passes_on_what_an_older_copy_lacks)
{
    object_copy first;
    first.apply({object_version(5), true, {object("a", 3), object("b", 5)}});
    first.apply({object_version(8), false, {object("a", 7), deletion("b", 8)}});
    object_copy second;
    second.apply({object_version(5), true, {object("a", 3), object("b", 5)}});
    auto const changes = first.changes_since(second.version());
    EXPECT_FALSE(changes.complete);
    EXPECT_EQ(changes.objects.size(), 2U);
    second.apply(changes);
    EXPECT_EQ(second.version(), object_version(8));
    EXPECT_EQ(second.find("b"), nullptr);
    EXPECT_EQ(second.find("a")->version, object_version(7));
}

TEST(object_copy, never_goes_back)
{
    object_copy copy;
    copy.apply({object_version(9), true, {object("a", 9)}});
    EXPECT_TRUE(copy.apply({object_version(4), true, {}}).objects.empty());
    EXPECT_NE(copy.find("a"), nullptr);
}

TEST(object_copy, a_list_tells_what_was_deleted_meanwhile)
{
    object_copy copy;
    copy.apply({object_version(5), true, {object("a", 3), object("b", 5)}});
    auto const news = copy.apply({object_version(9), true, {object("b", 5)}});
    ASSERT_EQ(news.objects.size(), 1U);
    EXPECT_TRUE(news.objects[0].deleted);
    EXPECT_EQ(news.objects[0].name, "a");
}

TEST(object_copy, a_deletion_may_bear_the_version_of_the_last_change)
{
    object_copy copy;
    copy.apply({object_version(5), true, {object("a", 5)}});
    copy.apply({object_version(6), false, {deletion("a", 5)}});
    EXPECT_EQ(copy.find("a"), nullptr);
}

TEST(object_copy, an_older_copy_than_the_known_deletions_is_replaced)
{
    object_copy copy(2);
    copy.apply({object_version(1), true, {}});
    for (std::uint64_t i = 2; i < 10; ++i)
    {
        auto const name = "n" + std::to_string(i);
        copy.apply({object_version(i * 2), false, {object(name, i * 2)}});
        copy.apply(
            {object_version(i * 2 + 1), false, {deletion(name, i * 2 + 1)}});
    }
    EXPECT_TRUE(copy.changes_since(object_version(4)).complete);
    EXPECT_FALSE(copy.changes_since(object_version(18)).complete);
}

TEST(object_copy, copies_that_exchange_changes_in_any_order_agree)
{
    std::mt19937 random(7);
    object_copy store(8);
    store.apply({object_version(1), true, {}});
    std::vector<object_copy> nodes(5, object_copy(8));
    std::uint64_t version = 1;
    for (int step = 0; step < 2000; ++step)
    {
        ++version;
        auto const name = std::string(1, static_cast<char>('a' + random() % 6));
        store.apply({object_version(version),
                     false,
                     {random() % 3 == 0 ? deletion(name, version)
                                        : object(name, version)}});
        auto & node = nodes[random() % nodes.size()];
        auto const & source =
            random() % 3 == 0 ? store : nodes[random() % nodes.size()];
        if (source.version() > node.version())
        {
            node.apply(source.changes_since(node.version()));
        }
    }
    for (auto & node : nodes)
    {
        node.apply(store.changes_since(node.version()));
        for (char name = 'a'; name < 'g'; ++name)
        {
            auto const * const there = store.find(std::string(1, name));
            auto const * const here = node.find(std::string(1, name));
            ASSERT_EQ(there == nullptr, here == nullptr) << name;
            if (there != nullptr)
            {
                EXPECT_EQ(there->version, here->version);
            }
        }
    }
}

// ---------------------------------------------------------------------------
// whom a node follows
// ---------------------------------------------------------------------------

std::vector<replication_candidate> candidates(int count, int without)
{
    std::vector<replication_candidate> made;
    for (int i = 0; i < count; ++i)
    {
        if (i != without)
        {
            made.push_back({node_name("node-" + std::to_string(i)),
                            {"10.0.0." + std::to_string(i), 80},
                            false});
        }
    }
    return made;
}

std::size_t followers_of_store(int count)
{
    std::size_t following = 0;
    for (int i = 0; i < count; ++i)
    {
        auto const source = choose_replication_source(
            node_name("node-" + std::to_string(i)), candidates(count, i), {});
        following += source.peer ? 0 : 1;
    }
    return following;
}

TEST(replication_source, one_node_of_a_small_domain_follows_the_store)
{
    EXPECT_EQ(followers_of_store(4), 1U);
    EXPECT_EQ(followers_of_store(26), 1U);
}

TEST(replication_source, followers_of_the_store_are_bounded_by_groups)
{
    auto const following = followers_of_store(290);
    EXPECT_GE(following, 5U);
    EXPECT_LE(following, 290U / 32 + 1);
}

TEST(replication_source, the_next_node_takes_over_where_the_first_fails)
{
    auto others = candidates(4, 2);
    node_name const own("node-2");
    auto source = choose_replication_source(own, others, {});
    int changes = 0;
    while (source.peer)
    {
        for (auto & one : others)
        {
            one.failed = one.failed || one.peer == *source.peer;
        }
        source = choose_replication_source(own, others, {});
        ASSERT_LT(++changes, 4);
    }
    EXPECT_FALSE(source.peer.has_value());
}

TEST(replication_source, a_node_that_knows_no_other_asks_a_seed)
{
    endpoint const seed{"10.0.0.9", 81};
    EXPECT_EQ(choose_replication_source(node_name("a"), {}, {seed}).peer, seed);
    EXPECT_FALSE(choose_replication_source(node_name("a"), {}, {}).peer);
}

} // namespace
} // namespace endivehinge
