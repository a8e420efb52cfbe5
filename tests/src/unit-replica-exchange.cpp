#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{
namespace
{

namespace http = boost::beast::http;

replica_versions versions_with_eras()
{
    replica_versions versions;
    versions.kinds = {object_version(store_era(2), 4),
                      object_version(store_era(2), 1ULL << 60U),
                      object_version(store_era(3), 6)};
    versions.configuration_version = 17;
    return versions;
}

std::string const earlier_body =
    R"({"age_us":7,"in_contact":true,"deferred":[false,false,false],)"
    R"("kinds":[{"version":9,"complete":true,"objects":[{"name":"main",)"
    R"("version":8,"content":"{}","deleted":false}]},)"
    R"({"version":0,"complete":false,"objects":[]},)"
    R"({"version":0,"complete":false,"objects":[]}]})";

TEST(replica_exchange_eras, request_passes_on_eras_and_configuration_version)
{
    auto const read = replica_exchange::read_request(
        replica_exchange::write_request(versions_with_eras(), 0));
    EXPECT_EQ(read.kinds, versions_with_eras().kinds);
    EXPECT_EQ(read.configuration_version, 17U);
}

TEST(replica_exchange_eras, earlier_version_finds_revisions_where_they_were)
{
    auto const request =
        replica_exchange::write_request(versions_with_eras(), 0);
    EXPECT_EQ(request.target(),
              "/endivehinge/replica/4,1152921504606846976,6,2,2,3,17");
}

TEST(replica_exchange_eras, request_of_an_earlier_version_has_no_eras)
{
    auto const read = replica_exchange::read_request(
        request_message{http::verb::get, "/endivehinge/replica/4,5,6", 11});
    EXPECT_EQ(read.kinds,
              (std::array<object_version, 3>{
                  object_version(4), object_version(5), object_version(6)}));
    EXPECT_EQ(read.configuration_version, 0U);
}

// a complete list in each response to an earlier version would be sent on and
// on, because it has no eras to state
TEST(replica_exchange_eras, revisions_of_an_earlier_version_count_in_own_era)
{
    request_message const request{
        http::verb::get, "/endivehinge/replica/4,0,6", 11};
    EXPECT_FALSE(replica_exchange::states_eras(request));
    EXPECT_TRUE(replica_exchange::states_eras(
        replica_exchange::write_request(replica_versions(), 0)));
    auto known = replica_exchange::read_request(request);
    known.assume_eras_of(versions_with_eras());
    EXPECT_EQ(known.kinds,
              (std::array<object_version, 3>{object_version(store_era(2), 4),
                                             object_version(),
                                             object_version(store_era(3), 6)}));
}

TEST(replica_exchange_eras, invalid_numbers_of_a_request_count_as_unknown)
{
    auto const read = replica_exchange::read_request(request_message{
        http::verb::get, "/endivehinge/replica/4,x,6,-1,2", 11});
    EXPECT_EQ(read.kinds[0], object_version(4));
    EXPECT_EQ(read.kinds[1], object_version(store_era(2), 0));
    EXPECT_EQ(read.kinds[2], object_version(6));
}

TEST(replica_exchange_eras, response_keeps_the_era_of_each_position)
{
    replica_exchange sent;
    sent.kinds[1] = {object_version(store_era(2), 9),
                     true,
                     {{"a", object_version(store_era(2), 8), "{}", false},
                      {"b", object_version(store_era(1), 700), "{}", false}}};
    failure reason;
    auto const read = replica_exchange::read(sent.write(), nullptr, reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->kinds[1].version, object_version(store_era(2), 9));
    ASSERT_EQ(read->kinds[1].objects.size(), 2U);
    EXPECT_EQ(read->kinds[1].objects[0].version,
              object_version(store_era(2), 8));
    EXPECT_EQ(read->kinds[1].objects[1].version,
              object_version(store_era(1), 700));
}

TEST(replica_exchange_eras, response_without_known_era_is_not_longer)
{
    replica_exchange sent;
    sent.kinds[1] = {
        object_version(9), true, {{"a", object_version(8), "{}", false}}};
    EXPECT_EQ(sent.write().find("era"), std::string::npos);
}

TEST(replica_exchange_eras, response_of_an_earlier_version_has_no_eras)
{
    failure reason;
    auto const read = replica_exchange::read(earlier_body, nullptr, reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->kinds[0].version, object_version(9));
    ASSERT_EQ(read->kinds[0].objects.size(), 1U);
    EXPECT_EQ(read->kinds[0].objects[0].version, object_version(8));
}

// A node that does not know whether its configuration is current must not make
// the requester accept keys. Without accounts, nothing is added.
TEST(replica_exchange_eras, states_the_age_of_the_configuration)
{
    failure reason;
    replica_exchange sent;
    EXPECT_EQ(sent.write().find("configuration"), std::string::npos);
    EXPECT_FALSE(replica_exchange::read(sent.write(), nullptr, reason)
                     ->states_configuration_age);
    sent.states_configuration_age = true;
    auto read = replica_exchange::read(sent.write(), nullptr, reason);
    EXPECT_TRUE(read->states_configuration_age);
    EXPECT_FALSE(read->configuration_age.has_value());
    sent.configuration_age = std::chrono::milliseconds(1250);
    read = replica_exchange::read(sent.write(), nullptr, reason);
    EXPECT_TRUE(read->states_configuration_age);
    EXPECT_EQ(read->configuration_age, std::chrono::milliseconds(1250));
}

// ---------------------------------------------------------------------------
// compressed content
// ---------------------------------------------------------------------------

/// @brief a text of many similar lines, with one line of its own
std::string long_text(std::string const & own_line)
{
    std::string text = own_line;
    for (int i = 0; i < 3000; ++i)
    {
        text += R"({"hostname":"h)" + std::to_string(i * i) +
                R"(.example","pathPrefix":"/p)" + std::to_string(i * 7919) +
                R"(/","timeoutS":2.5})";
    }
    return text;
}

replica_exchange exchange_with(std::string const & content)
{
    replica_exchange sent;
    sent.kinds[0] = {
        object_version(9), true, {{"main", object_version(8), content, false}}};
    return sent;
}

TEST(replica_exchange_packed, change_of_a_long_text_is_sent_as_the_change)
{
    text_history texts;
    texts.record(long_text("a"));
    auto const held = texts.newest();
    auto const held_digest = texts.newest_digest();
    texts.record(long_text("b"));
    auto sent = exchange_with(long_text("b"));
    sent.pack(texts, held_digest);
    EXPECT_LT(sent.content_size(), 500U);
    auto const body = sent.write();
    EXPECT_LT(body.size(), 1000U);
    failure reason;
    auto const read = replica_exchange::read(body, held, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->kinds[0].objects[0].content, long_text("b"));
    EXPECT_EQ(read->kinds[0].objects[0].version, object_version(8));
}

TEST(replica_exchange_packed, requester_without_a_text_gets_it_compressed)
{
    text_history texts;
    texts.record(long_text("a"));
    auto sent = exchange_with(long_text("a"));
    sent.pack(texts, 0);
    EXPECT_LT(sent.content_size(), long_text("a").size() / 4);
    failure reason;
    auto const read = replica_exchange::read(sent.write(), nullptr, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->kinds[0].objects[0].content, long_text("a"));
}

TEST(replica_exchange_packed, unknown_text_of_the_requester_counts_as_none)
{
    text_history texts;
    texts.record(long_text("a"));
    auto sent = exchange_with(long_text("a"));
    sent.pack(texts, 4711);
    failure reason;
    EXPECT_TRUE(replica_exchange::read(
                    sent.write(),
                    std::make_shared<std::string const>(long_text("x")),
                    reason)
                    .has_value());
}

TEST(replica_exchange_packed, content_that_cannot_be_restored_is_an_error)
{
    text_history texts;
    texts.record(long_text("a"));
    auto const held_digest = texts.newest_digest();
    texts.record(long_text("b"));
    auto sent = exchange_with(long_text("b"));
    sent.pack(texts, held_digest);
    auto const body = sent.write();
    failure reason;
    EXPECT_FALSE(replica_exchange::read(body, nullptr, reason).has_value());
    EXPECT_FALSE(
        replica_exchange::read(
            body, std::make_shared<std::string const>(long_text("c")), reason)
            .has_value());
    EXPECT_FALSE(replica_exchange::read(
                     body.substr(0, body.size() - 3),
                     std::make_shared<std::string const>(long_text("a")),
                     reason)
                     .has_value());
    EXPECT_EQ(reason.id, failure_id::invalid_message);
}

// earlier versions find all content in the objects
TEST(replica_exchange_packed, request_states_the_held_text)
{
    auto const request =
        replica_exchange::write_request(versions_with_eras(), 17);
    EXPECT_EQ(replica_exchange::read_held_digest(request), 17U);
    EXPECT_FALSE(
        replica_exchange::read_held_digest(
            request_message{http::verb::get, "/endivehinge/replica/4,5,6", 11})
            .has_value());
}

} // namespace
} // namespace endivehinge::detail
