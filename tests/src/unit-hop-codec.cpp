#include <gtest/gtest.h>

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

time_point const start(milliseconds(1000));

hop_request make_hop()
{
    hop_request hop;
    hop.role = hop_role::key_owner;
    hop.try_id = request_id("node-1-8");
    hop.content.suspect = true;
    hop.content.id = request_id("node-1-7");
    hop.content.service = service_name("booking");
    hop.content.message = {"POST", "/booking/hours", {}, "organ 3"};
    hop.content.message.headers.add("Idempotency-Key", "key-1");
    hop.content.deadline = start + milliseconds(250);
    hop.content.urgency = priority::internal_check;
    hop.content.repeatable = true;
    hop.content.depth = 3;
    hop.content.owner_epoch = epoch(9);
    return hop;
}

TEST(hop_codec, a_request_comes_back_as_it_was)
{
    failure reason;
    auto const hop = make_hop();
    auto const read =
        decode_hop_request(encode_hop_request(hop, start), start, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->role, hop.role);
    EXPECT_EQ(read->try_id, hop.try_id);
    EXPECT_EQ(read->content.suspect, hop.content.suspect);
    EXPECT_EQ(read->content.id, hop.content.id);
    EXPECT_EQ(read->content.service, hop.content.service);
    EXPECT_EQ(read->content.deadline, hop.content.deadline);
    EXPECT_EQ(read->content.urgency, hop.content.urgency);
    EXPECT_EQ(read->content.repeatable, hop.content.repeatable);
    EXPECT_EQ(read->content.depth, hop.content.depth);
    EXPECT_EQ(read->content.key, idempotency_key("key-1"));
    EXPECT_EQ(read->content.owner_epoch, hop.content.owner_epoch);
    EXPECT_EQ(read->content.message.body, hop.content.message.body);
    EXPECT_EQ(read->content.message.headers.all().size(), 2U);
}

TEST(hop_codec, the_time_on_the_way_is_not_given_back)
{
    failure reason;
    auto const sent = encode_hop_request(make_hop(), start + milliseconds(200));
    auto const read =
        decode_hop_request(sent, start + milliseconds(210), reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->content.deadline, start + milliseconds(260));
}

TEST(hop_codec, a_request_without_its_fields_is_an_error)
{
    for (char const * const name : {header_names::timeout_ms,
                                    header_names::request_id,
                                    header_names::try_id,
                                    header_names::service})
    {
        auto sent = encode_hop_request(make_hop(), start);
        sent.headers.remove(name);
        failure reason;
        EXPECT_FALSE(decode_hop_request(sent, start, reason).has_value());
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

TEST(hop_codec, each_kind_of_outcome_comes_back_as_it_was)
{
    auto const rejected =
        decode_hop_outcome(encode_hop_outcome(outcome::rejected(
            {failure_id::overloaded, "admit", {}, "full"}, milliseconds(40))));
    EXPECT_EQ(rejected.kind, outcome_kind::rejected);
    EXPECT_EQ(rejected.reason.id, failure_id::overloaded);
    EXPECT_EQ(rejected.reason.step, "admit");
    EXPECT_EQ(rejected.retry_after, milliseconds(40));

    auto const unknown = decode_hop_outcome(encode_hop_outcome(
        outcome::indeterminate({failure_id::connection_lost, {}, {}, {}})));
    EXPECT_EQ(unknown.kind, outcome_kind::indeterminate);

    auto const answered = decode_hop_outcome(
        encode_hop_outcome(outcome::answered({200, {}, "whole"})));
    EXPECT_EQ(answered.kind, outcome_kind::answered);
    EXPECT_EQ(answered.answer.body, "whole");
}

TEST(hop_codec, an_answer_that_no_node_wrote_is_an_unknown_outcome)
{
    EXPECT_EQ(decode_hop_outcome({200, {}, "?"}).kind,
              outcome_kind::indeterminate);
}

} // namespace
} // namespace endivehinge::detail
