#include <gtest/gtest.h>

#include <endivehinge/policy/configuration_freshness.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

boot_time const start{seconds(100)};

// A restarted node that has heard nothing must not count as informed.
TEST(configuration_freshness, nothing_is_known_at_the_start)
{
    EXPECT_FALSE(configuration_freshness().age(start).has_value());
}

// Pattern: a process is paused for ten seconds while the store's response waits
// in its connection. Counted from its receipt, a key withdrawn meanwhile would
// be accepted.
TEST(configuration_freshness, response_that_waited_during_a_pause_is_old)
{
    configuration_freshness freshness;
    freshness.record_unchanged(start, milliseconds(1200), start + seconds(10));
    EXPECT_EQ(freshness.age(start + seconds(10)), milliseconds(8800));
    freshness.record_read(start + seconds(1));
    EXPECT_EQ(freshness.age(start + seconds(10)), milliseconds(8800));
    freshness.record_peer(start + seconds(2), seconds(3));
    EXPECT_EQ(freshness.age(start + seconds(10)), milliseconds(8800))
        << "what another node knew before must not replace newer knowledge";
}

TEST(configuration_freshness, watch_that_ends_early_counts_from_its_end)
{
    configuration_freshness freshness;
    freshness.record_unchanged(
        start, milliseconds(1200), start + milliseconds(300));
    EXPECT_EQ(freshness.age(start + seconds(1)), milliseconds(700));
}

// A node whose clock runs differently must not make knowledge seem newer than
// the request for it.
TEST(configuration_freshness, other_node_counts_from_the_request)
{
    configuration_freshness freshness;
    freshness.record_peer(start, seconds(-5));
    EXPECT_EQ(freshness.age(start + seconds(1)), seconds(1));
    freshness.record_peer(start + seconds(2), milliseconds(400));
    EXPECT_EQ(freshness.age(start + seconds(3)), milliseconds(1400));
}

} // namespace
} // namespace endivehinge
