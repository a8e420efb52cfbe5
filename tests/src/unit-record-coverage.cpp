#include <gtest/gtest.h>

#include <endivehinge/coordination/record_coverage.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

owner_identity const a{node_name("a"), incarnation(1)};
owner_identity const b{node_name("b"), incarnation(1)};
owner_identity const c{node_name("c"), incarnation(1)};
clock_reading const held{time_point(seconds(1000)), wall_time(seconds(5000))};
idempotency_key const key("order 1");

assignment make_epoch(std::uint64_t number,
                      std::vector<owner_identity> previous,
                      std::vector<owner_identity> members)
{
    assignment made;
    made.number = epoch(number);
    made.leader = a;
    made.members = std::move(members);
    made.previous = std::move(previous);
    return made;
}

TEST(record_coverage, is_whole_once_each_earlier_owner_has_handed_over)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_epoch(3, {a, b}, {a, b, c}), true);
    coverage.hold(held);
    EXPECT_TRUE(coverage.complete_since_any_key(held.now).has_value());
    coverage.hand_over(a, epoch(3), std::nullopt);
    coverage.hand_over(b, epoch(3), std::nullopt);
    EXPECT_FALSE(coverage.complete_since_any_key(held.now).has_value());
    EXPECT_FALSE(coverage.awaits_records(key, held.now));
}

// several nodes start at once and are taken in one after the other
TEST(record_coverage, an_epoch_without_this_owner_leaves_nothing_missing)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_epoch(2, {a}, {a, b}), true);
    coverage.adopt(make_epoch(3, {a, b}, {a, b, c}), true);
    coverage.hold(held);
    coverage.hand_over(a, epoch(3), std::nullopt);
    coverage.hand_over(b, epoch(3), std::nullopt);
    EXPECT_FALSE(coverage.complete_since_any_key(held.now).has_value())
        << "nobody hands records of epoch 2 to a node that is not its member";
}

TEST(record_coverage, an_owner_that_comes_back_misses_what_was_not_handed_over)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_epoch(2, {a, b, c}, {a, b}), true);
    coverage.adopt(make_epoch(3, {a, b}, {a, b, c}), true);
    coverage.hold(held);
    coverage.hand_over(a, epoch(3), std::nullopt);
    EXPECT_TRUE(coverage.complete_since_any_key(held.now).has_value());
}

} // namespace
} // namespace endivehinge
