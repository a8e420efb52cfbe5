#include <string> // string

#include <gtest/gtest.h>

#include <endivehinge/detail/control/lease_codec.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t message_bytes = 1000;

service_name const booking("booking");
owner_identity const a{node_name("a"), incarnation(1)};
owner_identity const b{node_name("b"), incarnation(2)};

idempotency_record make_record(std::string const & key, std::string body)
{
    http_response answer{201, {}, std::move(body)};
    answer.headers.add("Location", "/hours/3");
    idempotency_record record;
    record.key = idempotency_key(key);
    record.state = key_state::finished;
    record.fingerprint = request_fingerprint(77);
    record.recorded = wall_time(seconds(1800000000));
    record.result =
        std::make_shared<outcome const>(outcome::answered(std::move(answer)));
    return record;
}

record_handover make_handover()
{
    record_handover handed;
    handed.from = a;
    handed.to = b;
    handed.number = epoch(4);
    handed.is_complete = true;
    return handed;
}

TEST(lease_codec, a_renewal_comes_back_as_it_was)
{
    auto const read =
        decode_renewal(encode_renewal(booking, {b, epoch(3), true}));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->node, b);
    EXPECT_EQ(read->adopted_epoch, epoch(3));
    EXPECT_TRUE(read->leaving);
    EXPECT_FALSE(decode_renewal(wire::lease_request()).has_value());
}

TEST(lease_codec, a_grant_comes_back_no_longer_than_it_was)
{
    assignment current;
    current.number = epoch(4);
    current.leader = a;
    current.renewals = 9;
    current.members = {a, b};
    current.previous = {a};
    auto const read = decode_grant(encode_grant(
        {milliseconds(30) + duration(999999), current, true, "why"}));
    EXPECT_EQ(read.lease_duration, duration(milliseconds(30)));
    EXPECT_EQ(read.current, current);
    EXPECT_TRUE(read.from_leader);
    EXPECT_EQ(read.reason, "why");
    EXPECT_FALSE(
        decode_grant(wire::lease_response()).lease_duration.has_value());
}

TEST(lease_codec, a_handover_comes_back_as_it_was)
{
    auto handed = make_handover();
    handed.complete_since = wall_time(seconds(1800000000)) + duration(1);
    handed.records.push_back(make_record("order 1", "booked"));
    idempotency_record running;
    running.key = idempotency_key("order 2");
    running.state = key_state::in_flight;
    handed.records.push_back(running);
    auto const messages = encode_handover(booking, handed, message_bytes);
    ASSERT_EQ(messages.size(), 1U);
    failure reason;
    auto const read = decode_handover(messages[0], reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->from, a);
    EXPECT_EQ(read->to, b);
    EXPECT_EQ(read->number, epoch(4));
    EXPECT_TRUE(read->is_complete);
    EXPECT_GE(read->complete_since, handed.complete_since);
    ASSERT_EQ(read->records.size(), 2U);
    auto const & kept = read->records[0];
    EXPECT_EQ(kept.key, idempotency_key("order 1"));
    EXPECT_EQ(kept.fingerprint, request_fingerprint(77));
    EXPECT_EQ(kept.recorded, handed.records[0].recorded);
    EXPECT_EQ(kept.result->answer.status, 201);
    EXPECT_EQ(kept.result->answer.body, "booked");
    EXPECT_EQ(*kept.result->answer.headers.find("location"), "/hours/3");
    EXPECT_EQ(read->records[1].state, key_state::indeterminate);
}

TEST(lease_codec, only_the_last_message_of_a_handover_completes_it)
{
    auto handed = make_handover();
    for (int number = 0; number < 5; ++number)
    {
        handed.records.push_back(
            make_record("order " + std::to_string(number),
                        std::string(message_bytes / 2, 'x')));
    }
    handed.records.push_back(
        make_record("order 5", std::string(message_bytes + 1, 'x')));
    auto const messages = encode_handover(booking, handed, message_bytes);
    ASSERT_GT(messages.size(), 1U);
    int records = 0;
    for (auto const & message : messages)
    {
        EXPECT_EQ(message.complete(), &message == &messages.back());
        records += message.records_size();
    }
    EXPECT_EQ(records, 6);
    failure reason;
    auto const last = decode_handover(messages.back(), reason);
    EXPECT_EQ(last->records.back().state, key_state::indeterminate)
        << "an answer beyond the bound stays behind";
}

TEST(lease_codec, a_handover_without_its_nodes_is_an_error)
{
    failure reason;
    EXPECT_FALSE(decode_handover(wire::handover_request(), reason));
    EXPECT_EQ(reason.id, failure_id::invalid_message);
}

} // namespace
} // namespace endivehinge::detail
