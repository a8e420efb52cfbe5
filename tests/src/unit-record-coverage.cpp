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
clock_reading const lease_start{time_point(seconds(1000)),
                                wall_time(seconds(5000))};
idempotency_key const key("order 1");

assignment make_assignment(std::uint64_t number,
                           std::vector<owner_identity> previous,
                           std::vector<owner_identity> members)
{
    assignment result;
    result.number = epoch(number);
    result.leader = a;
    result.members = std::move(members);
    result.previous = std::move(previous);
    return result;
}

TEST(record_coverage, is_complete_after_all_handovers)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_assignment(3, {a, b}, {a, b, c}), true);
    coverage.on_lease_granted(lease_start);
    EXPECT_TRUE(coverage.complete_since_any_key(lease_start.now).has_value());
    coverage.on_handover(a, epoch(3), std::nullopt);
    coverage.on_handover(b, epoch(3), std::nullopt);
    EXPECT_FALSE(coverage.complete_since_any_key(lease_start.now).has_value());
    EXPECT_FALSE(coverage.awaits_records(key, lease_start.now));
}

// Several nodes that start together become members in successive epochs.
TEST(record_coverage, epoch_without_membership_leaves_no_gap)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_assignment(2, {a}, {a, b}), true);
    coverage.adopt(make_assignment(3, {a, b}, {a, b, c}), true);
    coverage.on_lease_granted(lease_start);
    coverage.on_handover(a, epoch(3), std::nullopt);
    coverage.on_handover(b, epoch(3), std::nullopt);
    EXPECT_FALSE(coverage.complete_since_any_key(lease_start.now).has_value())
        << "records of epoch 2 are not handed to a node that is not its member";
}

TEST(record_coverage, returning_owner_lacks_records_not_handed_over)
{
    record_coverage coverage(c, seconds(60));
    coverage.adopt(make_assignment(2, {a, b, c}, {a, b}), true);
    coverage.adopt(make_assignment(3, {a, b}, {a, b, c}), true);
    coverage.on_lease_granted(lease_start);
    coverage.on_handover(a, epoch(3), std::nullopt);
    EXPECT_TRUE(coverage.complete_since_any_key(lease_start.now).has_value());
}

} // namespace
} // namespace endivehinge
