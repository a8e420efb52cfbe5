#include <gtest/gtest.h>

#include <string> // to_string

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

/// @brief two nodes of a service; the target beside the first one is replaced
/// by one of another service, which runs what it gets
class gateway_reused_address : public ::testing::Test
{
protected:
    gateway_reused_address()
    {
        this->fleet.start_members(2, "web");
    }

    [[nodiscard]] fleet_member & member()
    {
        return *this->fleet.members[0];
    }

    void replace_target()
    {
        this->member().target->id = "i-other";
        this->member().service = "other";
        this->member().started_ms = 2000;
    }

    void wait_for_probes()
    {
        auto const before = this->member().target->probe_count;
        EXPECT_TRUE(this->fleet.run_until(
            [this, before]
            {
                return this->member().target->probe_count > before + 2;
            }));
    }

    /// @brief sends requests to both nodes
    /// @return how many of them the target beside the first node ran
    std::size_t run_count(std::string const & prefix)
    {
        auto const before = this->member().target->executed_ids.size();
        for (int i = 0; i < 12; ++i)
        {
            auto const number = std::to_string(i);
            static_cast<void>(this->fleet.send_and_wait(
                *this->fleet.members[static_cast<std::size_t>(i) % 2],
                "/unsafe/" + number,
                prefix + number));
        }
        return this->member().target->executed_ids.size() - before;
    }

    [[nodiscard]] std::string stored(char const * field) const
    {
        auto const spec = this->fleet.store.spec("targets", "node-0");
        return spec.is_null() ? "" : spec.value(field, "");
    }

    gateway_fleet fleet;
};

// Requests of one service ran at another: the node took the target that got the
// address for the next incarnation of its own.
TEST_F(gateway_reused_address, target_of_another_service_gets_no_request)
{
    EXPECT_EQ(this->fleet.report(this->member(), "leave", 2), 200U);
    this->replace_target();
    this->wait_for_probes();
    EXPECT_EQ(this->run_count("a-"), 0U);
    EXPECT_NE(this->fleet.report(this->member(), "ready", 1), 200U);
    this->wait_for_probes();
    EXPECT_EQ(this->run_count("b-"), 0U);
    EXPECT_NE(this->stored("target"), "i-other");
}

// The target crashed instead of leaving, and nothing told the node.
TEST_F(gateway_reused_address, health_response_of_another_target_ends_its_use)
{
    this->replace_target();
    this->wait_for_probes();
    EXPECT_FALSE(this->member().node->state.target.entry().has_value());
    EXPECT_EQ(this->run_count("a-"), 0U);
}

// A stopping node published the target that got its address.
TEST_F(gateway_reused_address, stopping_node_adopts_no_target)
{
    EXPECT_EQ(this->fleet.report(this->member(), "leave", 2), 200U);
    this->member().node->stop([] {});
    this->member().target->id = "i-next";
    this->member().started_ms = 2000;
    EXPECT_EQ(this->fleet.report(this->member(), "ready", 1), 503U);
    this->wait_for_probes();
    EXPECT_NE(this->stored("target"), "i-next");
    EXPECT_EQ(this->run_count("a-"), 0U);
}

// The report that named the other service was refused, and changed nothing.
TEST_F(gateway_reused_address, report_of_another_service_is_checked_at_once)
{
    this->replace_target();
    EXPECT_EQ(this->fleet.report(this->member(), "ready", 1), 400U);
    EXPECT_TRUE(this->fleet.run_until(
        [this]
        {
            return !this->member().node->state.target.entry().has_value();
        }));
    EXPECT_EQ(this->run_count("a-"), 0U);
}

// Reports may be late or come from another writer.
TEST_F(gateway_reused_address, report_of_another_service_disturbs_no_target)
{
    auto const own_id = this->member().target->id;
    this->replace_target();
    for (auto const * const id : {"i-other", own_id.c_str()})
    {
        this->member().target->id = id;
        auto const reported = this->fleet.send_report(
            this->member(), "ready", 9, [](detail::call_result const &) {});
        this->member().target->id = own_id;
        this->wait_for_probes();
    }
    auto const entry = this->member().node->state.target.entry();
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->id.value(), own_id);
    EXPECT_EQ(entry->state, target_state::ready);
}

// After a change of the settings file requests went on to the address, which
// belonged to another service by then.
TEST_F(gateway_reused_address, changed_settings_name_another_target)
{
    auto settings = this->member().node->state.settings;
    settings.service = service_name("other");
    this->member().node->reload(settings);
    this->replace_target();
    this->wait_for_probes();
    EXPECT_EQ(this->run_count("a-"), 0U);
    EXPECT_EQ(this->fleet.report(this->member(), "ready", 1), 200U);
    EXPECT_TRUE(this->fleet.run_until(
        [this]
        {
            return this->stored("service") == "other" &&
                   this->stored("target") == "i-other";
        }));
    EXPECT_EQ(this->run_count("b-"), 0U);
}

// An entry of an earlier process, from before the node got another service.
TEST_F(gateway_reused_address, stored_entry_of_another_service_names_no_target)
{
    auto spec = this->fleet.store.spec("targets", "node-0");
    spec["service"] = "other";
    spec["target"] = "i-other";
    this->replace_target();
    this->fleet.store.put("targets", "node-0", spec);
    this->fleet.restart_node(this->member());
    this->wait_for_probes();
    EXPECT_FALSE(this->member().node->state.target.entry().has_value());
    EXPECT_EQ(this->run_count("a-"), 0U);
}

} // namespace
} // namespace endivehinge::tests
