#include <gtest/gtest.h>

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

time_point const base_time(milliseconds(1000));

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
    hop.content.deadline = base_time + milliseconds(250);
    hop.content.urgency = priority::internal_check;
    hop.content.repeatable = true;
    hop.content.depth = 3;
    hop.content.owner_epoch = epoch(9);
    return hop;
}

TEST(hop_codec, request_round_trip_preserves_fields)
{
    failure reason;
    auto const hop = make_hop();
    auto const decoded = decode_hop_request(
        encode_hop_request(hop, base_time), base_time, reason);
    ASSERT_TRUE(decoded.has_value()) << reason.describe();
    EXPECT_EQ(decoded->role, hop.role);
    EXPECT_EQ(decoded->try_id, hop.try_id);
    EXPECT_EQ(decoded->content.suspect, hop.content.suspect);
    EXPECT_EQ(decoded->content.id, hop.content.id);
    EXPECT_EQ(decoded->content.service, hop.content.service);
    EXPECT_EQ(decoded->content.deadline, hop.content.deadline);
    EXPECT_EQ(decoded->content.urgency, hop.content.urgency);
    EXPECT_EQ(decoded->content.repeatable, hop.content.repeatable);
    EXPECT_EQ(decoded->content.depth, hop.content.depth);
    EXPECT_EQ(decoded->content.key, idempotency_key("key-1"));
    EXPECT_EQ(decoded->content.owner_epoch, hop.content.owner_epoch);
    EXPECT_EQ(decoded->content.message.body, hop.content.message.body);
    EXPECT_EQ(decoded->content.message.headers.all().size(), 2U);
}

TEST(hop_codec, decoded_deadline_counts_from_receipt)
{
    failure reason;
    auto const encoded =
        encode_hop_request(make_hop(), base_time + milliseconds(200));
    auto const decoded =
        decode_hop_request(encoded, base_time + milliseconds(210), reason);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->content.deadline, base_time + milliseconds(260));
}

TEST(hop_codec, missing_header_is_invalid_message)
{
    for (char const * const name : {header_names::timeout_ms,
                                    header_names::request_id,
                                    header_names::try_id,
                                    header_names::service})
    {
        auto encoded = encode_hop_request(make_hop(), base_time);
        encoded.headers.remove(name);
        failure reason;
        EXPECT_FALSE(
            decode_hop_request(encoded, base_time, reason).has_value());
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

TEST(hop_codec, outcome_round_trip_preserves_each_kind)
{
    auto const rejected =
        decode_hop_outcome(encode_hop_outcome(outcome::rejected(
            {failure_id::overloaded, "admit", {}, "full"}, milliseconds(40))));
    EXPECT_EQ(rejected.kind, outcome_kind::rejected);
    EXPECT_EQ(rejected.reason.id, failure_id::overloaded);
    EXPECT_EQ(rejected.reason.step, "admit");
    EXPECT_EQ(rejected.retry_after, milliseconds(40));

    auto const indeterminate = decode_hop_outcome(encode_hop_outcome(
        outcome::indeterminate({failure_id::connection_lost, {}, {}, {}})));
    EXPECT_EQ(indeterminate.kind, outcome_kind::indeterminate);

    auto const answered = decode_hop_outcome(
        encode_hop_outcome(outcome::answered({200, {}, "whole"})));
    EXPECT_EQ(answered.kind, outcome_kind::answered);
    EXPECT_EQ(answered.answer.body, "whole");
}

TEST(hop_codec, response_without_outcome_header_is_indeterminate)
{
    EXPECT_EQ(decode_hop_outcome({200, {}, "?"}).kind,
              outcome_kind::indeterminate);
}

} // namespace
} // namespace endivehinge::detail
