#include <gtest/gtest.h>

#include <endivehinge/coordination/in_flight_request_table.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>

namespace endivehinge
{
namespace
{

TEST(in_flight_request_table, queried_request_is_rejected_on_arrival)
{
    in_flight_request_table table;
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::fenced);
    EXPECT_FALSE(table.begin("p-1"));
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::fenced);
}

TEST(in_flight_request_table, distinguishes_running_from_ended_requests)
{
    in_flight_request_table table;
    EXPECT_TRUE(table.begin("p-1"));
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::in_progress);
    table.end("p-1");
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::ended);
    EXPECT_FALSE(table.begin("p-1")) << "a duplicate must not run";
}

TEST(in_flight_request_table, drops_oldest_ended_request_but_none_in_progress)
{
    in_flight_request_table table(4);
    EXPECT_TRUE(table.begin("running"));
    for (int i = 0; i < 100; ++i)
    {
        auto const name = std::to_string(i);
        EXPECT_TRUE(table.begin(name));
        table.end(name);
    }
    EXPECT_EQ(table.query("running"), in_flight_request_state::in_progress);
    EXPECT_LE(table.size(), 5U);
}

TEST(in_flight_query, states_survive_encoding_and_decoding)
{
    duration const uptime = std::chrono::seconds(10);
    in_flight_request_table table;
    static_cast<void>(table.begin("p-1"));
    static_cast<void>(table.begin("p-2"));
    table.end("p-2");
    auto const request = detail::in_flight_query::write_request(
        {"p-1", "p-2", "p-3"}, std::chrono::seconds(1));
    ASSERT_TRUE(detail::in_flight_query::is_request(request));
    auto const states = detail::in_flight_query::read(
        detail::in_flight_query::answer(request, table, uptime), 3);
    ASSERT_TRUE(states.has_value());
    EXPECT_EQ(*states,
              (std::vector<in_flight_request_state>{
                  in_flight_request_state::in_progress,
                  in_flight_request_state::ended,
                  in_flight_request_state::fenced}));
    auto const empty_request =
        detail::in_flight_query::write_request({}, duration(0));
    EXPECT_TRUE(
        detail::in_flight_query::read(
            detail::in_flight_query::answer(empty_request, table, uptime), 0)
            .has_value());
    EXPECT_FALSE(detail::in_flight_query::read(
                     detail::in_flight_query::answer(request, table, uptime), 2)
                     .has_value());
}

// A restarted node stated that it had never received a request that the process
// before it had run; the sender ran the request again.
TEST(in_flight_query, a_request_older_than_the_process_may_have_run)
{
    auto const request = detail::in_flight_query::write_request(
        {"p-1", "p-2"}, std::chrono::seconds(3));
    in_flight_request_table table;
    static_cast<void>(table.begin("p-2"));
    auto const answer = [&request, &table](duration uptime)
    {
        return detail::in_flight_query::read(
            detail::in_flight_query::answer(request, table, uptime), 2);
    };
    EXPECT_EQ(answer(std::chrono::seconds(2)),
              (std::vector<in_flight_request_state>{
                  in_flight_request_state::ended,
                  in_flight_request_state::in_progress}));
    EXPECT_FALSE(table.begin("p-1")) << "it is fenced all the same";
    EXPECT_EQ(answer(std::chrono::seconds(4)),
              (std::vector<in_flight_request_state>{
                  in_flight_request_state::fenced,
                  in_flight_request_state::in_progress}));
}

} // namespace
} // namespace endivehinge
