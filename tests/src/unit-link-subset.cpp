#include <gtest/gtest.h>

#include <algorithm> // max
#include <string>    // to_string

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/policy/link_subset.hpp>

namespace endivehinge
{
namespace
{

constexpr std::size_t domains = 3;

std::vector<link_candidate> make_targets(std::size_t count, std::size_t domain)
{
    std::vector<link_candidate> targets;
    for (std::size_t index = 0; index < count; ++index)
    {
        targets.push_back({node_name("target-" + std::to_string(index)),
                           index % domains == domain});
    }
    return targets;
}

struct size_case
{
    std::size_t callers;
    std::size_t targets;
};

// Sizes for 5,500 nodes in 260 services; in the two largest cases, half or all
// of the nodes are callers.
TEST(link_subset, links_per_target_stay_within_limit)
{
    for (auto const & [callers, targets] : std::vector<size_case>{
             {13, 4}, {100, 21}, {500, 21}, {1500, 21}, {2750, 50}, {5500, 60}})
    {
        absl::flat_hash_map<node_name, std::size_t> links;
        std::size_t max_links = 0;
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            auto const chosen =
                choose_links(node_name("caller-" + std::to_string(caller)),
                             make_targets(targets, caller % domains),
                             {250, callers / domains, callers, 20});
            EXPECT_GE(chosen.size(), 2U);
            for (auto const & node : chosen)
            {
                max_links = std::max(max_links, ++links[node]);
            }
        }
        EXPECT_LE(max_links, 250U) << callers << " callers, " << targets;
        EXPECT_EQ(links.size(), targets);
    }
}

TEST(link_subset, all_targets_are_linked_if_few)
{
    EXPECT_EQ(choose_links(node_name("a"), make_targets(4, 0), {250, 4, 13, 20})
                  .size(),
              4U);
    EXPECT_TRUE(choose_links(node_name("a"), {}, {250, 4, 13, 20}).empty());
}

TEST(link_subset, local_domain_gets_most_but_not_all_links)
{
    auto const targets = make_targets(90, 0);
    std::size_t same_domain_links = 0;
    auto const chosen =
        choose_links(node_name("a"), targets, {250, 100, 300, 20});
    absl::flat_hash_set<node_name> const links(chosen.begin(), chosen.end());
    for (auto const & target : targets)
    {
        same_domain_links +=
            target.same_domain && links.contains(target.node) ? 1U : 0U;
    }
    EXPECT_GT(same_domain_links, chosen.size() / 2);
    EXPECT_LT(same_domain_links, chosen.size());
}

TEST(link_subset, removed_target_changes_at_most_one_link)
{
    auto targets = make_targets(60, 0);
    link_bounds const bounds{250, 100, 300, 20};
    auto const before = choose_links(node_name("a"), targets, bounds);
    absl::flat_hash_set<node_name> const links_before(before.begin(),
                                                      before.end());
    targets.erase(targets.begin() + 5);
    std::size_t added = 0;
    for (auto const & node : choose_links(node_name("a"), targets, bounds))
    {
        added += links_before.contains(node) ? 0U : 1U;
    }
    EXPECT_LE(added, 1U);
}

} // namespace
} // namespace endivehinge
