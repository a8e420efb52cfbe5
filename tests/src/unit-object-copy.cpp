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

TEST(object_copy, changes_since_bring_an_older_copy_up_to_date)
{
    object_copy newer_copy;
    newer_copy.apply(
        {object_version(5), true, {object("a", 3), object("b", 5)}});
    newer_copy.apply(
        {object_version(8), false, {object("a", 7), deletion("b", 8)}});
    object_copy older_copy;
    older_copy.apply(
        {object_version(5), true, {object("a", 3), object("b", 5)}});
    auto const changes = newer_copy.changes_since(older_copy.version());
    EXPECT_FALSE(changes.complete);
    EXPECT_EQ(changes.objects.size(), 2U);
    older_copy.apply(changes);
    EXPECT_EQ(older_copy.version(), object_version(8));
    EXPECT_EQ(older_copy.find("b"), nullptr);
    EXPECT_EQ(older_copy.find("a")->version, object_version(7));
}

object_version position(std::uint64_t era, std::uint64_t revision)
{
    return {store_era(era), revision};
}

TEST(object_copy, restored_list_with_lower_revisions_replaces_the_copy)
{
    object_copy copy;
    copy.apply({position(1, 900),
                true,
                {{"a", position(1, 800), "late", false},
                 {"b", position(1, 900), "late", false}}});
    auto const applied = copy.apply(
        {position(2, 850), true, {{"a", position(2, 700), "early", false}}});
    EXPECT_EQ(copy.version(), position(2, 850));
    EXPECT_EQ(copy.find("b"), nullptr);
    ASSERT_NE(copy.find("a"), nullptr);
    EXPECT_EQ(copy.find("a")->content, "early");
    ASSERT_EQ(applied.objects.size(), 2U);
    EXPECT_FALSE(applied.objects[0].deleted);
    EXPECT_TRUE(applied.objects[1].deleted);
}

TEST(object_copy, changes_of_an_earlier_era_are_ignored)
{
    object_copy copy;
    copy.apply({position(2, 5), true, {{"a", position(2, 4), "", false}}});
    EXPECT_TRUE(copy.apply({position(1, 900), true, {}}).objects.empty());
    EXPECT_TRUE(copy.apply({object_version(900), true, {}}).objects.empty());
    EXPECT_TRUE(
        copy.apply(
                {position(1, 901), false, {{"a", position(1, 901), "", true}}})
            .objects.empty());
    EXPECT_NE(copy.find("a"), nullptr);
    EXPECT_EQ(copy.version(), position(2, 5));
}

TEST(object_copy, single_changes_of_a_newer_era_wait_for_a_list)
{
    object_copy copy;
    copy.apply({position(1, 9), true, {{"a", position(1, 9), "", false}}});
    auto const applied =
        copy.apply({position(2, 8), false, {{"b", position(2, 8), "", false}}});
    EXPECT_TRUE(applied.objects.empty());
    EXPECT_EQ(copy.find("b"), nullptr);
    EXPECT_EQ(copy.version(), position(1, 9));
}

TEST(object_copy, copy_of_another_era_gets_a_complete_list)
{
    object_copy copy;
    copy.apply({position(1, 9), true, {{"a", position(1, 9), "", false}}});
    copy.apply({position(2, 5), true, {{"a", position(2, 4), "", false}}});
    copy.apply({position(2, 7), false, {{"b", position(2, 7), "", false}}});
    EXPECT_TRUE(copy.changes_since(position(1, 9)).complete);
    EXPECT_EQ(copy.changes_since(position(1, 9)).objects.size(), 2U);
    EXPECT_TRUE(copy.changes_since(object_version(900)).complete);
    auto const later = copy.changes_since(position(2, 5));
    EXPECT_FALSE(later.complete);
    EXPECT_EQ(later.objects.size(), 1U);
}

// deletions between the other copy's version and the restored list are unknown
TEST(object_copy, copy_from_before_the_restored_list_gets_a_complete_list)
{
    object_copy copy;
    copy.apply({position(1, 9), true, {{"a", position(1, 9), "", false}}});
    copy.apply({position(2, 8), true, {}});
    EXPECT_TRUE(copy.changes_since(position(2, 6)).complete);
    EXPECT_FALSE(copy.changes_since(position(2, 8)).complete);
}

TEST(object_copy, older_changes_are_ignored)
{
    object_copy copy;
    copy.apply({object_version(9), true, {object("a", 9)}});
    EXPECT_TRUE(copy.apply({object_version(4), true, {}}).objects.empty());
    EXPECT_NE(copy.find("a"), nullptr);
}

TEST(object_copy, complete_list_reports_missing_objects_as_deleted)
{
    object_copy copy;
    copy.apply({object_version(5), true, {object("a", 3), object("b", 5)}});
    auto const applied =
        copy.apply({object_version(9), true, {object("b", 5)}});
    ASSERT_EQ(applied.objects.size(), 1U);
    EXPECT_TRUE(applied.objects[0].deleted);
    EXPECT_EQ(applied.objects[0].name, "a");
}

TEST(object_copy, deletion_with_version_of_last_change_is_applied)
{
    object_copy copy;
    copy.apply({object_version(5), true, {object("a", 5)}});
    copy.apply({object_version(6), false, {deletion("a", 5)}});
    EXPECT_EQ(copy.find("a"), nullptr);
}

TEST(object_copy, copy_older_than_the_tombstones_is_replaced)
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

TEST(object_copy, copies_converge_for_any_exchange_order)
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
            auto const * const expected = store.find(std::string(1, name));
            auto const * const actual = node.find(std::string(1, name));
            ASSERT_EQ(expected == nullptr, actual == nullptr) << name;
            if (expected != nullptr)
            {
                EXPECT_EQ(expected->version, actual->version);
            }
        }
    }
}

// ---------------------------------------------------------------------------
// replication source
// ---------------------------------------------------------------------------

std::vector<replication_candidate> make_candidates(int count, int excluded)
{
    std::vector<replication_candidate> result;
    for (int i = 0; i < count; ++i)
    {
        if (i != excluded)
        {
            result.push_back({node_name("node-" + std::to_string(i)),
                              {"10.0.0." + std::to_string(i), 80},
                              false});
        }
    }
    return result;
}

std::size_t count_nodes_on_store(int count)
{
    std::size_t node_count = 0;
    for (int i = 0; i < count; ++i)
    {
        auto const source =
            choose_replication_source(node_name("node-" + std::to_string(i)),
                                      make_candidates(count, i),
                                      {});
        node_count += source.peer ? 0 : 1;
    }
    return node_count;
}

TEST(replication_source, one_node_of_a_small_domain_replicates_from_the_store)
{
    EXPECT_EQ(count_nodes_on_store(4), 1U);
    EXPECT_EQ(count_nodes_on_store(26), 1U);
}

TEST(replication_source, group_count_bounds_replication_from_the_store)
{
    auto const node_count = count_nodes_on_store(290);
    EXPECT_GE(node_count, 5U);
    EXPECT_LE(node_count, 290U / 64 + 1);
}

TEST(replication_source, next_node_takes_over_after_a_failure)
{
    auto candidates = make_candidates(4, 2);
    node_name const own("node-2");
    auto source = choose_replication_source(own, candidates, {});
    int changes = 0;
    while (source.peer)
    {
        for (auto & candidate : candidates)
        {
            candidate.failed =
                candidate.failed || candidate.peer == *source.peer;
        }
        source = choose_replication_source(own, candidates, {});
        ASSERT_LT(++changes, 4);
    }
    EXPECT_FALSE(source.peer.has_value());
}

// A store that is down or turns many nodes away answered a call of each node
// every second, since each source in turn reported that it had no contact.
TEST(replication_source, few_nodes_call_a_store_that_is_down)
{
    constexpr int count = 60;
    int callers = 0;
    for (int i = 0; i < count; ++i)
    {
        auto candidates = make_candidates(count, i);
        for (auto & candidate : candidates)
        {
            candidate.failed = true;
        }
        auto const source = choose_replication_source(
            node_name("node-" + std::to_string(i)), candidates, {});
        EXPECT_FALSE(source.peer);
        callers += source.may_call_store ? 1 : 0;
    }
    EXPECT_EQ(callers, 3);
}

TEST(replication_source, seed_is_used_without_candidates)
{
    endpoint const seed{"10.0.0.9", 81};
    EXPECT_EQ(choose_replication_source(node_name("a"), {}, {seed}).peer, seed);
    EXPECT_FALSE(choose_replication_source(node_name("a"), {}, {}).peer);
}

} // namespace
} // namespace endivehinge
