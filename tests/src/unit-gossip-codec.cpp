#include <random> // mt19937

#include <gtest/gtest.h>

#include <endivehinge/coordination/datagram_packer.hpp>
#include <endivehinge/coordination/member_digest.hpp>
#include <endivehinge/detail/membership/protobuf_gossip_codec.hpp>

namespace endivehinge::detail
{
namespace
{

member make_member(std::size_t number, std::string const & host)
{
    member record;
    record.name = node_name("listings-" + std::to_string(number));
    record.incarnation_number = incarnation(1764795900123456789ULL + number);
    record.sequence = number;
    record.service = service_name("service-" + std::to_string(number % 260));
    record.domain = failure_domain("domain-" + std::to_string(number % 19));
    record.region = region_name("region-" + std::to_string(number % 8));
    record.peer_address = {host, 65535};
    record.control_address = {host, 65534};
    record.slots = 4000000000U;
    record.accepts_work = true;
    return record;
}

member_update make_update(std::size_t number,
                          std::string const & host = "10.20.30.40")
{
    return {std::make_shared<member const>(make_member(number, host)),
            member_state::suspect};
}

gossip_message make_message()
{
    gossip_message message;
    message.kind = gossip_kind::indirect_ping;
    message.sequence = 77;
    message.sender = make_update(1);
    message.sender.state = member_state::alive;
    message.subject = node_name("archive-2");
    message.subject_address = {"10.0.0.9", 7400};
    message.configuration = object_version(1ULL << 60U);
    return message;
}

TEST(gossip_codec, a_message_comes_back_as_it_was)
{
    protobuf_gossip_codec const codec;
    auto message = make_message();
    message.updates = {make_update(2), make_update(3, "fd00::12")};
    message.digest = {1, 2, 0xffffffffU};
    failure reason;
    auto const read = codec.decode(codec.encode(message), reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->kind, message.kind);
    EXPECT_EQ(read->sequence, message.sequence);
    EXPECT_EQ(read->subject, message.subject);
    EXPECT_EQ(read->subject_address, message.subject_address);
    EXPECT_EQ(read->configuration, message.configuration);
    EXPECT_EQ(read->digest, message.digest);
    ASSERT_EQ(read->updates.size(), 2U);
    member const & sent = *message.updates[1].record;
    member const & got = *read->updates[1].record;
    EXPECT_EQ(read->updates[1].state, member_state::suspect);
    EXPECT_EQ(got.name, sent.name);
    EXPECT_EQ(got.incarnation_number, sent.incarnation_number);
    EXPECT_EQ(got.sequence, sent.sequence);
    EXPECT_EQ(got.service, sent.service);
    EXPECT_EQ(got.domain, sent.domain);
    EXPECT_EQ(got.region, sent.region);
    EXPECT_EQ(got.peer_address, sent.peer_address);
    EXPECT_EQ(got.control_address, sent.control_address);
    EXPECT_EQ(got.slots, sent.slots);
    EXPECT_EQ(got.accepts_work, sent.accepts_work);
}

TEST(gossip_codec, a_packed_datagram_is_never_larger_than_was_counted)
{
    protobuf_gossip_codec const codec;
    for (std::string const host : {"10.20.30.40", "fd00:1:2:3:4:5:6:789a"})
    {
        for (std::size_t const words :
             {std::size_t{0}, member_digest::bucket_count})
        {
            auto message = make_message();
            message.digest.assign(words, 0xffffffffU);
            datagram_packer packer(message, max_datagram_bytes);
            std::size_t added = 0;
            while (packer.try_add(make_update(1000 + added, host)))
            {
                ++added;
            }
            EXPECT_GT(added, 0U);
            EXPECT_LE(codec.encode(message).size(), packer.bytes());
            EXPECT_LE(packer.bytes(), max_datagram_bytes);
        }
    }
}

TEST(gossip_codec, garbage_is_refused_and_harmless)
{
    protobuf_gossip_codec const codec;
    std::mt19937 random(5);
    std::string const whole = codec.encode(make_message());
    failure reason;
    for (int i = 0; i < 5000; ++i)
    {
        std::string damaged = whole;
        for (int change = 0; change < 4; ++change)
        {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        damaged.resize(random() % (damaged.size() + 1));
        static_cast<void>(codec.decode(damaged, reason));
    }
    std::string const too_large(max_datagram_bytes + 1, 'x');
    for (std::string const & text : {std::string(), too_large})
    {
        EXPECT_FALSE(codec.decode(text, reason).has_value());
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

} // namespace
} // namespace endivehinge::detail
