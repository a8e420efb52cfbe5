#include <gtest/gtest.h>

#include <utility> // exchange

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

// neither UTF-8 nor ASCII
constexpr char const * unreadable_id = "\xFF\xFE";

class gateway_unreadable_bytes : public ::testing::Test
{
protected:
    gateway_unreadable_bytes()
    {
        this->fleet.start_members(1, "web");
    }

    /// @brief waits for some health probes and a request
    void expect_served(std::string const & id)
    {
        auto & member = *this->fleet.members[0];
        auto const probes = member.target->probe_count;
        EXPECT_TRUE(this->fleet.run_until(
            [&member, probes]
            {
                return member.target->probe_count > probes + 2;
            }));
        EXPECT_EQ(this->fleet.send_and_wait(member, "/safe/a", id)
                      .response.result_int(),
                  200U);
    }

    [[nodiscard]] std::string stored_id() const
    {
        return this->fleet.store.spec("targets", "node-0").value("target", "");
    }

    gateway_fleet fleet;
};

// The node took the id over and ended as it wrote the entry for the store.
TEST_F(gateway_unreadable_bytes, report_with_such_an_id_names_no_target)
{
    auto & member = *this->fleet.members[0];
    auto const id = std::exchange(member.target->id, unreadable_id);
    EXPECT_NE(this->fleet.report(member, "ready", 1), 200U);
    member.target->id = id;
    this->expect_served("id-1");
    EXPECT_EQ(this->stored_id(), id);
}

TEST_F(gateway_unreadable_bytes, leave_with_such_an_id_names_no_target)
{
    auto & member = *this->fleet.members[0];
    auto const id = std::exchange(member.target->id, unreadable_id);
    EXPECT_NE(this->fleet.report(member, "leave", 1), 200U);
    member.target->id = id;
    this->expect_served("id-1");
    EXPECT_EQ(this->stored_id(), id);
}

TEST_F(gateway_unreadable_bytes,
       health_response_with_such_an_id_names_no_target)
{
    auto & member = *this->fleet.members[0];
    auto const id = member.target->id;
    member.target->extra_fields["Instance-Id"] = unreadable_id;
    this->expect_served("id-1");
    EXPECT_EQ(this->stored_id(), id);
}

} // namespace
} // namespace endivehinge::tests
