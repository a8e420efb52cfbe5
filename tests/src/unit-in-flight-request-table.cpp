#include <gtest/gtest.h>

#include <endivehinge/coordination/in_flight_request_table.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>

namespace endivehinge
{
namespace
{

TEST(in_flight_request_table,
     a_request_that_never_came_is_refused_when_it_comes)
{
    in_flight_request_table table;
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::fenced);
    EXPECT_FALSE(table.begin("p-1"));
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::fenced);
}

TEST(in_flight_request_table, tells_what_runs_from_what_has_ended)
{
    in_flight_request_table table;
    EXPECT_TRUE(table.begin("p-1"));
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::in_progress);
    table.end("p-1");
    EXPECT_EQ(table.query("p-1"), in_flight_request_state::ended);
    EXPECT_FALSE(table.begin("p-1")) << "a copy of it does not run";
}

TEST(in_flight_request_table, forgets_the_oldest_and_never_what_is_in_progress)
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

TEST(in_flight_query, survives_the_wire)
{
    in_flight_request_table table;
    static_cast<void>(table.begin("p-1"));
    static_cast<void>(table.begin("p-2"));
    table.end("p-2");
    auto const request =
        detail::in_flight_query::write_request({"p-1", "p-2", "p-3"});
    ASSERT_TRUE(detail::in_flight_query::is_request(request));
    auto const states = detail::in_flight_query::read(
        detail::in_flight_query::answer(request, table), 3);
    ASSERT_TRUE(states.has_value());
    EXPECT_EQ(*states,
              (std::vector<in_flight_request_state>{
                  in_flight_request_state::in_progress,
                  in_flight_request_state::ended,
                  in_flight_request_state::fenced}));
    auto const none = detail::in_flight_query::write_request({});
    EXPECT_TRUE(detail::in_flight_query::read(
                    detail::in_flight_query::answer(none, table), 0)
                    .has_value());
    EXPECT_FALSE(detail::in_flight_query::read(
                     detail::in_flight_query::answer(request, table), 2)
                     .has_value());
}

} // namespace
} // namespace endivehinge
