#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/connection_budget.hpp>

namespace endivehinge::tests
{
namespace
{

using detail::connection_activity;
using detail::connection_budget;
using detail::connection_id;
using detail::connection_use;
using detail::listener_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(milliseconds after_start)
{
    return time_point() + seconds(100) + after_start;
}

class connection_budget_test : public ::testing::Test
{
protected:
    connection_id add(connection_activity activity,
                      milliseconds last_progress,
                      std::size_t ordinary_bytes = 10,
                      std::size_t large_bytes = 0,
                      listener_kind listener = listener_kind::clients)
    {
        auto const added = this->budget.add(listener, at(last_progress));
        connection_use use;
        use.activity = activity;
        use.last_progress = at(last_progress);
        use.message_start = at(last_progress);
        use.ordinary_bytes = ordinary_bytes;
        use.large_bytes = large_bytes;
        this->budget.update(added, use);
        return added;
    }

    connection_budget budget{{4, 100, 1000}};
    connection_id none;
};

TEST_F(connection_budget_test, sums_what_connections_hold)
{
    auto const first =
        this->add(connection_activity::running, milliseconds(0), 60, 700);
    this->add(connection_activity::idle, milliseconds(0), 30);
    EXPECT_EQ(this->budget.ordinary_total(), 90U);
    EXPECT_EQ(this->budget.large_total(), 700U);
    EXPECT_TRUE(this->budget.has_room(10));
    EXPECT_FALSE(this->budget.has_room(11));
    EXPECT_TRUE(this->budget.has_large_room(300));
    EXPECT_FALSE(this->budget.has_large_room(301));
    this->budget.remove(first);
    this->budget.remove(first);
    EXPECT_EQ(this->budget.ordinary_total(), 30U);
    EXPECT_EQ(this->budget.large_total(), 0U);
}

// A crowd that only stays open locked out whoever came later.
TEST_F(connection_budget_test, connections_without_a_request_are_closed_first)
{
    auto const idle = this->add(connection_activity::idle, milliseconds(0));
    auto const unused =
        this->add(connection_activity::unused, milliseconds(500));
    this->add(connection_activity::unused, milliseconds(600));
    this->add(connection_activity::running, milliseconds(0));
    auto const newest =
        this->add(connection_activity::unused, milliseconds(1000));
    ASSERT_TRUE(this->budget.has_too_many());
    EXPECT_EQ(this->budget.closable(at(milliseconds(1000)), newest), unused);
    EXPECT_NE(this->budget.closable(at(milliseconds(1000)), newest), idle);
}

TEST_F(connection_budget_test, a_request_in_progress_never_gives_way)
{
    for (int i = 0; i < 5; ++i)
    {
        this->add(connection_activity::running, milliseconds(0), 50, 500);
    }
    auto const now = at(seconds(60));
    EXPECT_EQ(this->budget.closable(now, this->none), std::nullopt);
    EXPECT_EQ(this->budget.ordinary_holder(now, this->none), std::nullopt);
    EXPECT_EQ(this->budget.large_holder(now, this->none), std::nullopt);
}

TEST_F(connection_budget_test, a_listener_keeps_its_share)
{
    auto const other = this->add(connection_activity::unused,
                                 milliseconds(0),
                                 10,
                                 0,
                                 listener_kind::nodes);
    for (int i = 0; i < 4; ++i)
    {
        this->add(connection_activity::unused, seconds(10));
    }
    auto const closable = this->budget.closable(at(seconds(20)), this->none);
    ASSERT_TRUE(closable.has_value());
    EXPECT_NE(closable, other);
}

TEST_F(connection_budget_test, a_stalled_client_goes_before_the_largest)
{
    auto const stalled =
        this->add(connection_activity::receiving, milliseconds(0), 20);
    auto const largest =
        this->add(connection_activity::receiving, seconds(3), 70);
    EXPECT_EQ(this->budget.ordinary_holder(at(seconds(3)), this->none),
              stalled);
    EXPECT_EQ(this->budget.ordinary_holder(at(seconds(3)), stalled), largest);
}

// Many large bodies that grew together would fill the memory, none complete.
TEST_F(connection_budget_test, beyond_half_of_the_memory_one_body_grows)
{
    auto const first =
        this->add(connection_activity::receiving, milliseconds(0), 10, 300);
    auto const second =
        this->add(connection_activity::receiving, milliseconds(100), 10, 200);
    auto const now = at(milliseconds(200));
    EXPECT_TRUE(this->budget.may_receive_large(first, 100, now));
    EXPECT_FALSE(this->budget.may_receive_large(second, 100, now));
    EXPECT_FALSE(this->budget.may_receive_large(first, 501, now));
    // the first one stalls
    connection_use use;
    use.activity = connection_activity::receiving;
    use.large_bytes = 200;
    use.last_progress = at(seconds(4));
    use.message_start = at(milliseconds(100));
    this->budget.update(second, use);
    EXPECT_TRUE(this->budget.may_receive_large(second, 100, at(seconds(4))));
    EXPECT_EQ(this->budget.stalled_large_holder(at(seconds(4))), first);
}

TEST_F(connection_budget_test, a_wait_for_memory_is_no_stall)
{
    auto const waiting =
        this->add(connection_activity::receiving, milliseconds(0), 10, 300);
    connection_use use;
    use.activity = connection_activity::receiving;
    use.large_bytes = 300;
    use.last_progress = at(milliseconds(0));
    use.message_start = at(milliseconds(0));
    use.paused = true;
    this->budget.update(waiting, use);
    EXPECT_EQ(this->budget.stalled_large_holder(at(seconds(60))), std::nullopt);
    EXPECT_EQ(this->budget.first_large(at(seconds(60))), waiting);
}

} // namespace
} // namespace endivehinge::tests
