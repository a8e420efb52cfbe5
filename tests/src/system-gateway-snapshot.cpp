#include <gtest/gtest.h>

#include "gateway/snapshot_run.hpp"

namespace endivehinge::tests
{
namespace
{

// Over a slow link a large configuration took longer than the time limit, and
// each repeated read was given up as well.
TEST(gateway_snapshot, configuration_that_arrives_slowly_is_read)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    EXPECT_TRUE(
        reads_configuration_over(fleet, std::chrono::milliseconds(900)));
}

} // namespace
} // namespace endivehinge::tests
