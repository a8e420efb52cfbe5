#include <gtest/gtest.h>

#include <algorithm> // any_of

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// an evacuation that the restored store has again settles after four seconds,
// everything else the gateway holds after two or five
constexpr duration targets_settle_time = seconds(2);
constexpr duration evacuations_settle_time = seconds(5);
constexpr int changes_after_copy = 20;
constexpr duration check_interval = milliseconds(10);

class restored_view : public testing::Test
{
protected:
    static detail::fleet_view const & view_of(fleet_member const & member)
    {
        return member.node->state.fleet;
    }

    static std::uint64_t configuration_of(fleet_member const & member)
    {
        auto const & active = view_of(member).configuration();
        return active ? active->version : 0;
    }

    static std::size_t ready_count(fleet_member const & member)
    {
        return view_of(member).ready_targets(service_name("web")).size();
    }

    static bool uses_last_node(fleet_member const & member)
    {
        auto const entries = view_of(member).ready_targets(service_name("web"));
        return std::any_of(entries.begin(),
                           entries.end(),
                           [](target_entry const * entry)
                           {
                               return entry->node == node_name("node-2");
                           });
    }

    static bool is_evacuated(fleet_member const & member)
    {
        return view_of(member).is_evacuated(failure_domain("d1"));
    }

    /// @brief whether a condition holds for all running nodes
    template <class Condition>
    bool all(Condition const & condition)
    {
        for (auto const & member : this->fleet.members)
        {
            if (member->node && !condition(*member))
            {
                return false;
            }
        }
        return true;
    }

    template <class Condition>
    bool wait_for_all(Condition const & condition)
    {
        return this->fleet.run_until(
            [this, &condition]
            {
                return this->all(condition);
            });
    }

    /// @brief whether a condition holds for all running nodes all the time
    template <class Condition>
    bool stays(Condition const & condition, duration length)
    {
        auto const end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            if (!this->all(condition))
            {
                return false;
            }
            this->fleet.run_for(check_interval);
        }
        return true;
    }

    /// @brief a state of the store to restore; changes after it take revisions
    /// that the restored store gives out only later
    std::uint64_t take_copy()
    {
        auto const copy = this->fleet.store.current_revision();
        for (int i = 0; i < changes_after_copy; ++i)
        {
            this->fleet.store.put("other", "object", json::object());
        }
        return copy;
    }

    void evacuate()
    {
        this->fleet.store.put("evacuations", "d1", json::object());
    }

    void lift_evacuation()
    {
        this->fleet.store.erase("evacuations", "d1");
    }

    /// @brief stops a node without any notice to the store
    void kill(std::size_t member)
    {
        this->fleet.members[member]->node.reset();
        this->fleet.run_for(milliseconds(1));
    }

    bool has_entry(std::string const & node) const
    {
        return !this->fleet.store.spec("targets", node).is_null();
    }

    gateway_fleet fleet;
};

TEST_F(restored_view, configuration_does_not_revert)
{
    this->fleet.start_members(3, "web");
    auto const copy = this->take_copy();
    this->fleet.configure(5, "web");
    auto const is_newest = [](fleet_member const & member)
    {
        return configuration_of(member) == 5;
    };
    ASSERT_TRUE(this->wait_for_all(is_newest));
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(is_newest, seconds(2)));
    // the operator repeats an earlier change first
    this->fleet.configure(3, "web");
    EXPECT_TRUE(this->stays(is_newest, seconds(1)));
    this->fleet.configure(6, "web");
    EXPECT_TRUE(this->wait_for_all(
        [](fleet_member const & member)
        {
            return configuration_of(member) == 6;
        }));
}

// The new node reads the earlier configuration from the store, and the others
// have nothing at a newer position to send.
TEST_F(restored_view, node_that_starts_later_gets_the_newest_configuration)
{
    this->fleet.start_members(3, "web");
    auto const copy = this->take_copy();
    this->fleet.configure(5, "web");
    auto const is_newest = [](fleet_member const & member)
    {
        return configuration_of(member) == 5;
    };
    ASSERT_TRUE(this->wait_for_all(is_newest));
    this->fleet.store.restore(copy);
    // revisions that were given out before the restore are passed again
    for (int i = 0; i <= changes_after_copy; ++i)
    {
        this->fleet.configure(3, "web");
    }
    this->fleet.run_for(milliseconds(1500));
    for (int i = 0; i < 3; ++i)
    {
        this->fleet.add("web");
    }
    this->fleet.run_for(seconds(2));
    EXPECT_TRUE(this->all(is_newest));
}

TEST_F(restored_view, evacuation_holds_until_the_operator_repeats_and_lifts_it)
{
    this->fleet.start_members(3, "web");
    auto const copy = this->take_copy();
    this->evacuate();
    ASSERT_TRUE(this->wait_for_all(&is_evacuated));
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(&is_evacuated, seconds(2)));
    this->evacuate();
    EXPECT_TRUE(this->stays(&is_evacuated, seconds(4)));
    this->lift_evacuation();
    EXPECT_TRUE(this->wait_for_all(
        [](fleet_member const & member)
        {
            return !is_evacuated(member);
        }));
}

TEST_F(restored_view, evacuation_that_is_not_repeated_ends)
{
    this->fleet.start_members(2, "web");
    auto const copy = this->take_copy();
    this->evacuate();
    ASSERT_TRUE(this->wait_for_all(&is_evacuated));
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(&is_evacuated,
                            evacuations_settle_time - milliseconds(100)));
    EXPECT_TRUE(this->wait_for_all(
        [](fleet_member const & member)
        {
            return !is_evacuated(member);
        }));
}

TEST_F(restored_view, lifted_evacuation_does_not_return_before_the_operator)
{
    this->fleet.start_members(3, "web");
    this->evacuate();
    ASSERT_TRUE(this->wait_for_all(&is_evacuated));
    auto const copy = this->take_copy();
    this->lift_evacuation();
    auto const is_lifted = [](fleet_member const & member)
    {
        return !is_evacuated(member);
    };
    ASSERT_TRUE(this->wait_for_all(is_lifted));
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(is_lifted, milliseconds(3500)));
    this->lift_evacuation();
    EXPECT_TRUE(this->stays(is_lifted, seconds(3)));
    // the nodes follow the restored store
    this->evacuate();
    EXPECT_TRUE(this->wait_for_all(&is_evacuated));
}

TEST_F(restored_view, entry_that_was_deleted_is_not_brought_back)
{
    this->fleet.start_members(3, "web");
    auto const copy = this->take_copy();
    EXPECT_EQ(this->fleet.report(*this->fleet.members[2], "leave", 2), 200U);
    auto const is_gone = [](fleet_member const & member)
    {
        return !uses_last_node(member);
    };
    ASSERT_TRUE(this->wait_for_all(is_gone));
    ASSERT_TRUE(this->fleet.run_until(
        [this]
        {
            return this->fleet.store.spec("targets", "node-2")
                       .value("state", "") == "gone";
        }));
    // until all nodes have seen the departure
    this->fleet.run_for(milliseconds(1500));
    this->kill(2);
    this->fleet.store.restore(copy);
    ASSERT_TRUE(this->has_entry("node-2"));
    EXPECT_TRUE(this->stays(is_gone, targets_settle_time + seconds(2)));
    EXPECT_FALSE(this->has_entry("node-2"))
        << "a node that starts now would use it";
    auto & new_member = this->fleet.add("web");
    EXPECT_TRUE(this->fleet.run_until(
        [&new_member]
        {
            return ready_count(new_member) >= 2;
        }));
    EXPECT_TRUE(this->stays(is_gone, seconds(1)));
}

TEST_F(restored_view, target_that_the_copy_lacks_stays_in_use)
{
    this->fleet.start_members(2, "web");
    auto const copy = this->take_copy();
    auto & newest = this->fleet.add("web");
    EXPECT_EQ(this->fleet.report(newest, "ready", 1), 200U);
    auto const has_all = [](fleet_member const & member)
    {
        return ready_count(member) == 3;
    };
    ASSERT_TRUE(this->wait_for_all(has_all));
    this->fleet.store.restore(copy);
    ASSERT_FALSE(this->has_entry("node-2"));
    EXPECT_TRUE(this->stays(has_all, targets_settle_time + seconds(2)));
    EXPECT_TRUE(this->has_entry("node-2")) << "its node writes it again";
}

TEST_F(restored_view, target_that_the_copy_lacks_ends_with_its_node)
{
    this->fleet.start_members(2, "web");
    auto const copy = this->take_copy();
    auto & newest = this->fleet.add("web");
    EXPECT_EQ(this->fleet.report(newest, "ready", 1), 200U);
    ASSERT_TRUE(this->wait_for_all(
        [](fleet_member const & member)
        {
            return ready_count(member) == 3;
        }));
    this->kill(2);
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(
        [](fleet_member const & member)
        {
            return ready_count(member) == 3;
        },
        targets_settle_time - milliseconds(100)));
    EXPECT_TRUE(this->wait_for_all(
        [](fleet_member const & member)
        {
            return ready_count(member) == 2;
        }));
}

TEST_F(restored_view, draining_target_that_the_copy_has_as_ready_gets_nothing)
{
    this->fleet.start_members(3, "web");
    auto const copy = this->take_copy();
    EXPECT_EQ(this->fleet.report(*this->fleet.members[2], "draining", 2), 200U);
    auto const is_draining = [](fleet_member const & member)
    {
        return ready_count(member) == 2;
    };
    ASSERT_TRUE(this->wait_for_all(is_draining));
    this->fleet.store.restore(copy);
    EXPECT_TRUE(this->stays(is_draining, targets_settle_time + seconds(2)));
    EXPECT_EQ(this->fleet.store.spec("targets", "node-2").at("state"),
              "draining")
        << "its node writes it again";
}

} // namespace
} // namespace endivehinge::tests
