#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/allotment_exchange.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

allotment_message example_message()
{
    allotment_message message;
    message.from = {node_name("n1"), ~std::uint64_t{0}};
    message.ended.push_back({node_name("n2"), milliseconds(300)});
    message.departures.push_back({node_name("n3"), target_id("t3")});
    allotment_ask ask;
    ask.sequence = 7;
    ask.acknowledged = 6;
    ask.needed = 2;
    ask.wanted = 5;
    ask.returned = 1;
    ask.demand = 9.5;
    ask.wants_right = true;
    message.asks.emplace_back(account_name("a"), ask);
    message.questions.emplace_back("b");
    return message;
}

TEST(allotment_exchange, message_survives_a_round_trip)
{
    auto const request = allotment_exchange::write_request(example_message());
    EXPECT_TRUE(allotment_exchange::is_request(request));
    failure reason;
    auto const read = allotment_exchange::read_request(request, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->from.process, ~std::uint64_t{0});
    ASSERT_EQ(read->ended.size(), 1U);
    EXPECT_EQ(read->ended[0].remaining, milliseconds(300));
    ASSERT_EQ(read->departures.size(), 1U);
    EXPECT_EQ(read->departures[0].node, node_name("n3"));
    EXPECT_EQ(read->departures[0].target, target_id("t3"));
    ASSERT_EQ(read->asks.size(), 1U);
    EXPECT_EQ(read->asks[0].second.needed, 2U);
    EXPECT_EQ(read->asks[0].second.wanted, 5U);
    EXPECT_EQ(read->asks[0].second.returned, 1U);
    EXPECT_EQ(read->asks[0].second.demand, 9.5);
    EXPECT_TRUE(read->asks[0].second.wants_right);
    EXPECT_FALSE(read->asks[0].second.drops_right);
    EXPECT_EQ(read->questions.at(0), account_name("b"));
}

TEST(allotment_exchange, response_survives_a_round_trip)
{
    allotment_response sent;
    sent.from = {node_name("n2"), 5};
    allotment_grant grant;
    grant.sequence = 7;
    grant.from_owner = true;
    grant.tokens = 3;
    grant.right = 2.5;
    grant.next_token = milliseconds(40);
    grant.rights_free = milliseconds(3000);
    grant.recovering = true;
    sent.grants.emplace_back(account_name("a"), grant);
    sent.claims.emplace_back(account_name("b"),
                             allotment_claim{true,
                                             4,
                                             milliseconds(500),
                                             milliseconds(5000),
                                             milliseconds(2000)});
    failure reason;
    auto const read = allotment_exchange::read_response(
        allotment_exchange::write_response(sent), reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->grants.at(0).second.tokens, 3U);
    EXPECT_EQ(read->grants.at(0).second.right, 2.5);
    EXPECT_EQ(read->grants.at(0).second.next_token, milliseconds(40));
    EXPECT_TRUE(read->claims.at(0).second.agrees);
    EXPECT_EQ(read->claims.at(0).second.begins, milliseconds(500));
    EXPECT_EQ(read->claims.at(0).second.remaining, milliseconds(5000));
    EXPECT_EQ(read->grants.at(0).second.rights_free, milliseconds(3000));
    EXPECT_TRUE(read->grants.at(0).second.recovering);
    EXPECT_EQ(read->claims.at(0).second.rights_free, milliseconds(2000));
}

// Guards against tokens or rights out of values that another program sent
TEST(allotment_exchange, malformed_messages_are_rejected)
{
    std::string many = R"({"node":"n","process":1,"questions":["a")";
    for (int i = 0; i < 64; ++i)
    {
        many += R"(,"a")";
    }
    for (std::string const & body :
         {std::string(),
          std::string("7"),
          std::string("[]"),
          std::string("{}"),
          std::string(R"({"node":"n"})"),
          std::string(R"({"node":7,"process":1})"),
          std::string(R"({"node":"n","process":1,"asks":{}})"),
          std::string(R"({"node":"n","process":1,"asks":[{"account":"a"}]})"),
          std::string(R"({"node":"n","process":1,"asks":[{"account":"a",)"
                      R"("sequence":1,"acknowledged":0,"wanted":-1}]})"),
          std::string(R"({"node":"n","process":1,"asks":[{"account":"a",)"
                      R"("sequence":1,"acknowledged":0,"wanted":1e18}]})"),
          std::string(R"({"node":"n","process":1,"asks":[{"account":"a",)"
                      R"("sequence":1,"acknowledged":0,"demand":-2}]})"),
          many + "]}",
          std::string(70000, ' ') + R"({"node":"n","process":1})"})
    {
        auto request = allotment_exchange::write_request(example_message());
        request.body() = body;
        failure reason;
        EXPECT_FALSE(
            allotment_exchange::read_request(request, reason).has_value())
            << body;
        EXPECT_EQ(reason.id, failure_id::invalid_message) << body;
    }
    for (auto const * const body :
         {"",
          "7",
          "{}",
          R"({"node":"n","process":1,"grants":[{"account":"a"}]})",
          R"({"node":"n","process":1,"grants":[{"account":"a",)"
          R"("sequence":1,"owner":true,"right":1e300}]})",
          R"({"node":"n","process":1,"claims":[{"account":"a",)"
          R"("agrees":true,"remaining_us":-1}]})"})
    {
        failure reason;
        EXPECT_FALSE(
            allotment_exchange::read_response(body, reason).has_value())
            << body;
    }
}

} // namespace
} // namespace endivehinge::detail
