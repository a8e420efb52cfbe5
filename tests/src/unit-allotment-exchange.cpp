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
    message.departures.push_back({node_name("n3"), target_id("t3")});
    allotment_ask ask;
    ask.sequence = 7;
    ask.needed = 2;
    ask.wanted = 5;
    ask.returned = 1;
    ask.demand = 9.5;
    ask.relay = true;
    message.asks.emplace_back(account_name("a"), ask);
    message.vote_requests.push_back({account_name("b"), 5, true});
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
    ASSERT_EQ(read->departures.size(), 1U);
    EXPECT_EQ(read->departures[0].node, node_name("n3"));
    EXPECT_EQ(read->departures[0].target, target_id("t3"));
    ASSERT_EQ(read->asks.size(), 1U);
    EXPECT_EQ(read->asks[0].second.needed, 2U);
    EXPECT_EQ(read->asks[0].second.wanted, 5U);
    EXPECT_EQ(read->asks[0].second.returned, 1U);
    EXPECT_EQ(read->asks[0].second.demand, 9.5);
    EXPECT_TRUE(read->asks[0].second.relay);
    ASSERT_EQ(read->vote_requests.size(), 1U);
    EXPECT_EQ(read->vote_requests[0].account, account_name("b"));
    EXPECT_EQ(read->vote_requests[0].number, 5U);
    EXPECT_TRUE(read->vote_requests[0].is_return);
}

TEST(allotment_exchange, response_survives_a_round_trip)
{
    allotment_response sent;
    sent.from = {node_name("n2"), 5};
    allotment_grant grant;
    grant.sequence = 7;
    grant.from_owner = true;
    grant.tokens = 3;
    grant.next_token = milliseconds(40);
    grant.remaining = milliseconds(300);
    grant.owner = node_name("n3");
    sent.grants.emplace_back(account_name("a"), grant);
    allotment_vote vote;
    vote.granted = true;
    vote.provisional = true;
    vote.unowned_for = milliseconds(20);
    sent.votes.emplace_back(account_name("b"), vote);
    vote = {};
    vote.holder = node_name("n4");
    vote.remaining = milliseconds(700);
    sent.votes.emplace_back(account_name("c"), vote);
    failure reason;
    auto const read = allotment_exchange::read_response(
        allotment_exchange::write_response(sent), reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_TRUE(read->grants.at(0).second.from_owner);
    EXPECT_EQ(read->grants.at(0).second.tokens, 3U);
    EXPECT_EQ(read->grants.at(0).second.next_token, milliseconds(40));
    EXPECT_EQ(read->grants.at(0).second.remaining, milliseconds(300));
    EXPECT_EQ(read->grants.at(0).second.owner, node_name("n3"));
    EXPECT_TRUE(read->votes.at(0).second.granted);
    EXPECT_TRUE(read->votes.at(0).second.provisional);
    EXPECT_EQ(read->votes.at(0).second.unowned_for, milliseconds(20));
    EXPECT_FALSE(read->votes.at(1).second.granted);
    EXPECT_EQ(read->votes.at(1).second.holder, node_name("n4"));
    EXPECT_EQ(read->votes.at(1).second.remaining, milliseconds(700));
}

// Guards against tokens or votes out of values that another program sent
TEST(allotment_exchange, malformed_messages_are_rejected)
{
    std::string many =
        R"({"node":"n","process":1,"vote_requests":[{"account":"a",)"
        R"("number":1,"return":false})";
    for (int i = 0; i < 64; ++i)
    {
        many += R"(,{"account":"a","number":1,"return":false})";
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
          std::string(R"({"node":"n","process":1,"vote_requests":[{}]})"),
          std::string(R"({"node":"n","process":1,"vote_requests":[)"
                      R"({"account":"a","number":"x","return":false}]})"),
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
          R"("sequence":1,"from_owner":true,"tokens":1e300}]})",
          R"({"node":"n","process":1,"grants":[{"account":"a",)"
          R"("sequence":1,"owner":7}]})",
          R"({"node":"n","process":1,"votes":[{"account":"a",)"
          R"("granted":true,"remaining_us":-1}]})"})
    {
        failure reason;
        EXPECT_FALSE(
            allotment_exchange::read_response(body, reason).has_value())
            << body;
    }
}

} // namespace
} // namespace endivehinge::detail
