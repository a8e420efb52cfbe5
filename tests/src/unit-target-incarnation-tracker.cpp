#include <gtest/gtest.h>

#include <functional> // function
#include <vector>     // vector

#include <endivehinge/policy/target_incarnation_tracker.hpp>

namespace endivehinge
{
namespace
{

using change = target_incarnation_tracker::change;

target_status_report make_report(char const * id,
                                 std::int64_t started_ms,
                                 std::uint64_t sequence,
                                 target_state state = target_state::ready)
{
    target_status_report result;
    result.id = target_id(id);
    result.started_ms = started_ms;
    result.sequence = sequence;
    result.state = state;
    result.slots = 8;
    return result;
}

TEST(target_incarnation_tracker, ignores_late_reports)
{
    target_incarnation_tracker tracker;
    EXPECT_EQ(tracker.report(make_report("a", 10, 1)), change::new_incarnation);
    EXPECT_EQ(tracker.report(make_report("a", 10, 3, target_state::draining)),
              change::state_changed);
    EXPECT_EQ(tracker.report(make_report("a", 10, 2)), change::none);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
}

TEST(target_incarnation_tracker, ignores_reports_of_an_earlier_incarnation)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 5));
    EXPECT_EQ(tracker.report(make_report("b", 20, 1)), change::new_incarnation);
    EXPECT_EQ(tracker.report(make_report("a", 10, 6)), change::none);
    EXPECT_EQ(tracker.current()->id, target_id("b"));
}

TEST(target_incarnation_tracker, a_draining_incarnation_never_becomes_ready)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 1, target_state::draining));
    tracker.report(make_report("a", 10, 2));
    EXPECT_EQ(tracker.current()->state, target_state::draining);
    EXPECT_EQ(tracker.record_health_response(target_id("a"), 8),
              change::refreshed);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
}

TEST(target_incarnation_tracker, an_ended_incarnation_never_becomes_current)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 1));
    EXPECT_TRUE(tracker.leave(target_id("a"), 10));
    EXPECT_FALSE(tracker.current().has_value());
    EXPECT_EQ(tracker.report(make_report("a", 10, 2)), change::none);
    EXPECT_EQ(tracker.record_health_response(target_id("a"), 8), change::none);
    EXPECT_FALSE(tracker.current().has_value());
}

TEST(target_incarnation_tracker, a_new_incarnation_may_reuse_an_earlier_id)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 7));
    tracker.leave(target_id("a"), 10);
    EXPECT_EQ(tracker.report(make_report("a", 11, 1)), change::new_incarnation);
    EXPECT_EQ(tracker.current()->started_ms, 11);
}

TEST(target_incarnation_tracker, a_leave_before_any_report_is_remembered)
{
    target_incarnation_tracker tracker;
    EXPECT_TRUE(tracker.leave(target_id("a"), 0));
    ASSERT_TRUE(tracker.departed().has_value());
    EXPECT_EQ(tracker.departed()->id, target_id("a"));
    EXPECT_EQ(tracker.report(make_report("a", 10, 9)), change::none);
    EXPECT_EQ(tracker.report(make_report("a", 30, 1)), change::new_incarnation);
}

TEST(target_incarnation_tracker, a_health_response_names_known_ids_only)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 1));
    tracker.invalidate(target_id("a"));
    EXPECT_FALSE(tracker.current().has_value());
    EXPECT_EQ(tracker.record_health_response(target_id("b"), 8), change::none);
    EXPECT_FALSE(tracker.current().has_value());
    EXPECT_EQ(tracker.record_health_response(target_id("a"), 0), change::none);
    EXPECT_EQ(tracker.record_health_response(target_id("a"), 8),
              change::new_incarnation);
    EXPECT_EQ(tracker.record_health_response(target_id("b"), 8), change::lost);
    EXPECT_FALSE(tracker.current().has_value());
}

TEST(target_incarnation_tracker, a_stopping_node_adopts_no_incarnation)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 10, 1));
    tracker.stop_adopting();
    EXPECT_EQ(tracker.report(make_report("a", 10, 2)), change::refreshed);
    EXPECT_EQ(tracker.report(make_report("b", 20, 1)), change::declined);
    EXPECT_EQ(tracker.current()->id, target_id("a"));
    tracker.leave(target_id("a"), 10);
    EXPECT_EQ(tracker.report(make_report("b", 20, 2)), change::declined);
    EXPECT_EQ(tracker.record_health_response(target_id("b"), 8), change::none);
    EXPECT_FALSE(tracker.current().has_value());
}

TEST(target_incarnation_tracker, drained_incarnation_stays_so_until_the_next)
{
    target_incarnation_tracker tracker;
    target_status_report report;
    report.id = target_id("i-1");
    report.sequence = 5;
    tracker.report(report);
    EXPECT_FALSE(tracker.drain(target_id("i-0")));
    EXPECT_TRUE(tracker.drain(report.id));
    EXPECT_FALSE(tracker.drain(report.id));
    report.sequence = 6;
    tracker.report(report);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
    report.id = target_id("i-2");
    report.sequence = 1;
    tracker.report(report);
    EXPECT_EQ(tracker.current()->state, target_state::ready);
}

TEST(target_incarnation_tracker, a_leave_of_an_earlier_start_is_not_its_own)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 20, 1));
    EXPECT_FALSE(tracker.leave(target_id("a"), 10));
    EXPECT_EQ(tracker.current()->started_ms, 20);
    EXPECT_EQ(tracker.report(make_report("a", 10, 2)), change::none);
    EXPECT_TRUE(tracker.leave(target_id("a"), 30));
    EXPECT_FALSE(tracker.current().has_value());
}

// The clock by which targets state their start jumps back between two starts
// under one id: all reports of the second one were dropped, and its draining
// was confirmed without effect.
TEST(target_incarnation_tracker, departure_counts_after_the_clock_jumped_back)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 2400, 1));
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence)
    {
        EXPECT_EQ(tracker.report(make_report("a", 1000, sequence)),
                  change::refreshed);
    }
    EXPECT_EQ(tracker.report(make_report("a", 1000, 5, target_state::draining)),
              change::state_changed);
    EXPECT_EQ(tracker.report(make_report("a", 2400, 2)), change::none);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
    EXPECT_TRUE(tracker.leave(target_id("a"), 1000));
    EXPECT_FALSE(tracker.current().has_value());
}

TEST(target_incarnation_tracker, late_departure_of_an_earlier_start_passes)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 20, 1));
    tracker.report(make_report("a", 10, 4));
    tracker.report(make_report("a", 10, 5, target_state::draining));
    EXPECT_EQ(tracker.current()->state, target_state::draining);
    EXPECT_EQ(tracker.report(make_report("a", 20, 2)), change::new_incarnation);
    EXPECT_EQ(tracker.current()->state, target_state::ready);
    tracker.report(make_report("a", 5, 4));
    EXPECT_TRUE(tracker.leave(target_id("a"), 5));
    EXPECT_EQ(tracker.report(make_report("a", 20, 3)), change::new_incarnation);
}

TEST(target_incarnation_tracker, earlier_start_succeeds_once_it_is_proven)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 20, 1));
    tracker.leave(target_id("a"), 20);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
    {
        EXPECT_EQ(tracker.record_health_response(target_id("a"), 8),
                  change::none);
        EXPECT_EQ(tracker.report(make_report("a", 10, sequence)), change::none);
    }
    EXPECT_FALSE(tracker.current().has_value());
    EXPECT_EQ(tracker.record_health_response(target_id("a"), 8),
              change::new_incarnation);
    EXPECT_EQ(tracker.current()->started_ms, 10);
}

TEST(target_incarnation_tracker, earlier_start_is_used_if_its_address_names_it)
{
    target_incarnation_tracker tracker;
    tracker.report(make_report("a", 20, 1));
    EXPECT_EQ(tracker.report(make_report("b", 10, 1)), change::none);
    EXPECT_EQ(tracker.current()->id, target_id("a"));
    EXPECT_EQ(tracker.record_health_response(target_id("b"), 8),
              change::new_incarnation);
    EXPECT_EQ(tracker.report(make_report("b", 10, 2)), change::refreshed);
}

/// @brief a node and its successors, which know only the stored entry
class stored_tracker
{
public:
    void kill()
    {
        auto const entry = this->entry();
        this->tracker = target_incarnation_tracker();
        if (entry)
        {
            this->tracker.restore(*entry);
        }
    }

    [[nodiscard]] std::optional<target_status_report> entry() const
    {
        return this->tracker.current() ? this->tracker.current()
                                       : this->tracker.departed();
    }

    target_incarnation_tracker tracker;
};

// Each message of an incarnation may arrive late, in any order, and a node may
// be killed after any of them. What was confirmed holds all the same.
TEST(target_incarnation_tracker, confirmed_departure_holds_in_all_orders)
{
    using step = std::function<void(stored_tracker &, bool & has_left)>;
    auto const report = [](target_status_report const & message)
    {
        return [message](stored_tracker & node, bool & has_left)
        {
            node.tracker.report(message);
            has_left = has_left || message.state != target_state::ready;
        };
    };
    std::vector<step> const steps = {
        report(make_report("a", 10, 1)),
        report(make_report("a", 10, 5)),
        report(make_report("a", 10, 6, target_state::draining)),
        [](stored_tracker & node, bool & has_left)
        {
            node.tracker.leave(target_id("a"), 10);
            has_left = true;
        },
        [](stored_tracker & node, bool &)
        {
            node.tracker.record_health_response(target_id("a"), 8);
        },
        [](stored_tracker & node, bool &)
        {
            node.kill();
        },
        // of an incarnation under its id that started before it, or after it
        // by a clock that had jumped
        [](stored_tracker & node, bool &)
        {
            node.tracker.report(make_report("a", 4, 3, target_state::draining));
        },
        [](stored_tracker & node, bool &)
        {
            node.tracker.leave(target_id("a"), 4);
        },
    };
    constexpr std::size_t length = 7;
    std::size_t orders = 1;
    for (std::size_t i = 0; i < length; ++i)
    {
        orders *= steps.size();
    }
    for (std::size_t order = 0; order < orders; ++order)
    {
        stored_tracker node;
        bool has_left = false;
        auto rest = order;
        // one late report of the earlier one may come at any time, too
        auto const late = order % length;
        for (std::size_t i = 0; i < length; ++i, rest /= steps.size())
        {
            if (i == late)
            {
                node.tracker.report(make_report("a", 4, 2));
            }
            steps[rest % steps.size()](node, has_left);
            auto const & current = node.tracker.current();
            ASSERT_FALSE(has_left && current &&
                         current->state == target_state::ready)
                << "order " << order << ", step " << i;
        }
    }
}

// The same with a successor: it is used whatever arrives of the one before.
TEST(target_incarnation_tracker, successor_is_used_in_all_orders)
{
    std::vector<std::function<void(stored_tracker &)>> const late = {
        [](stored_tracker & node)
        {
            node.tracker.report(make_report("a", 10, 5));
        },
        [](stored_tracker & node)
        {
            node.tracker.report(
                make_report("a", 10, 6, target_state::draining));
        },
        [](stored_tracker & node)
        {
            node.tracker.leave(target_id("a"), 10);
        },
        [](stored_tracker & node)
        {
            node.kill();
        },
    };
    constexpr std::size_t orders = 1024; // of five steps out of four
    for (auto const * const id : {"a", "b"})
    {
        for (std::size_t order = 0; order < orders; ++order)
        {
            stored_tracker node;
            std::size_t successor_reports = 0;
            auto rest = order;
            for (std::size_t i = 0; i < 5; ++i, rest /= late.size())
            {
                late[rest % late.size()](node);
                if (i >= 2)
                {
                    node.tracker.report(
                        make_report(id, 20, ++successor_reports));
                    auto const & current = node.tracker.current();
                    ASSERT_TRUE(current && current->started_ms == 20 &&
                                current->state == target_state::ready)
                        << "order " << order << ", step " << i;
                }
            }
        }
    }
}

} // namespace
} // namespace endivehinge
