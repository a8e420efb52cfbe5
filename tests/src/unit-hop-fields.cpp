#include <gtest/gtest.h>

#include <algorithm> // count

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{
namespace
{

namespace http = boost::beast::http;
using std::chrono::milliseconds;

time_point const now_time{std::chrono::seconds(50)};

dispatch_request sample_request()
{
    dispatch_request request;
    request.message = request_message{http::verb::put, "/a/b?c=d", 11};
    request.message.set("X-Client", "kept");
    request.message.body() = "body";
    request.id = "id-1";
    request.target = target_id("i-1");
    request.service = service_name("seats");
    request.route = "r-1";
    request.caller = service_name("web");
    request.urgency = {
        2, now_time + milliseconds(300), now_time + milliseconds(900)};
    request.idempotent = true;
    request.suspect = true;
    request.hedge = true;
    request.stated_rate = 3.25;
    request.slow_action = slow_target_action::start_or_refuse;
    request.account = account_name("pulo780");
    request.account_key = account_key_digest(0xfedcba9876543210U);
    return request;
}

hop_sender sample_sender()
{
    hop_sender sender;
    sender.peer = {"10.0.0.1", 8000};
    sender.versions.kinds = {
        object_version(4), object_version(5), object_version(6)};
    return sender;
}

TEST(hop_fields, request_round_trip_removes_hop_fields)
{
    auto sent = sample_request();
    write_hop_request(sent, sample_sender(), now_time);
    auto message = sent.message;
    auto const sender = read_hop_sender(message);
    ASSERT_TRUE(sender.has_value());
    EXPECT_EQ(sender->peer, sample_sender().peer);
    EXPECT_EQ(sender->versions.kinds, sample_sender().versions.kinds);
    auto const read = read_hop_request(std::move(message), now_time);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->id, "id-1");
    EXPECT_EQ(read->target, target_id("i-1"));
    EXPECT_EQ(read->service, service_name("seats"));
    EXPECT_EQ(read->route, "r-1");
    EXPECT_EQ(read->caller, service_name("web"));
    EXPECT_EQ(read->urgency.rank, 2U);
    EXPECT_EQ(read->urgency.deadline, sent.urgency.deadline);
    EXPECT_TRUE(read->idempotent);
    EXPECT_TRUE(read->suspect);
    EXPECT_TRUE(read->hedge);
    EXPECT_EQ(read->stated_rate, 3.25);
    EXPECT_EQ(read->slow_action, slow_target_action::start_or_refuse);
    EXPECT_EQ(read->account, account_name("pulo780"));
    EXPECT_EQ(read->account_key, account_key_digest(0xfedcba9876543210U));
    std::size_t fields = 0;
    for (auto const & field : read->message)
    {
        fields += 1;
        EXPECT_EQ(field.name_string(), "X-Client");
    }
    EXPECT_EQ(fields, 1U);
}

// Deployments without accounts send the same bytes between nodes as before.
TEST(hop_fields, no_account_adds_no_field)
{
    auto sent = sample_request();
    sent.account = account_name();
    sent.account_key.reset();
    write_hop_request(sent, sample_sender(), now_time);
    EXPECT_EQ(sent.message.count("Endivehinge-Account"), 0U);
    EXPECT_EQ(sent.message.count("Endivehinge-Key"), 0U);
    auto const read = read_hop_request(std::move(sent.message), now_time);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->account, account_name());
    EXPECT_FALSE(read->account_key.has_value());
}

TEST(hop_fields, rejects_request_with_missing_or_invalid_fields)
{
    EXPECT_FALSE(
        read_hop_request(request_message{http::verb::get, "/", 11}, now_time)
            .has_value());
    auto sent = sample_request();
    write_hop_request(sent, sample_sender(), now_time);
    sent.message.set("Endivehinge-Urgency", "1 2 x 4 5");
    EXPECT_FALSE(
        read_hop_request(std::move(sent.message), now_time).has_value());
}

TEST(hop_fields, removes_hop_fields_set_by_client)
{
    auto sent = sample_request();
    write_hop_request(sent, sample_sender(), now_time);
    remove_hop_fields(sent.message);
    // a client that sets them would run requests under another account
    EXPECT_EQ(sent.message.count("Endivehinge-Account"), 0U);
    EXPECT_EQ(sent.message.count("Endivehinge-Key"), 0U);
    EXPECT_FALSE(read_hop_sender(sent.message).has_value());
    EXPECT_FALSE(
        read_hop_request(std::move(sent.message), now_time).has_value());
}

TEST(hop_fields, result_round_trip)
{
    for (auto const outcome : {dispatch_outcome::answered,
                               dispatch_outcome::refused,
                               dispatch_outcome::indeterminate})
    {
        dispatch_result sent;
        sent.outcome = outcome;
        sent.response = response_message{http::status::created, 11};
        sent.response.set("Kept", "yes");
        sent.response.body() = "answer";
        sent.from_service = true;
        sent.reached_target = true;
        sent.reason = outcome == dispatch_outcome::answered ? "" : "busy";
        sent.refusal = admission_refusal::crashing;
        sent.target_crashed = true;
        sent.share_used = true;
        sent.retry_after = milliseconds(70);
        sent.run_time = milliseconds(12);
        target_load load;
        load.running = 3;
        load.limit = 14;
        load.slowdown = 4.5;
        load.closed = true;
        load.stated_rate = 7.1;
        sent.load = load;
        replica_versions versions;
        auto const read = read_hop_result(
            write_hop_result(sent, sample_sender().versions), versions);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read->outcome, outcome);
        EXPECT_EQ(read->reason, sent.reason);
        EXPECT_EQ(read->refusal, admission_refusal::crashing);
        EXPECT_EQ(read->retry_after, sent.retry_after);
        EXPECT_TRUE(read->from_service);
        EXPECT_TRUE(read->reached_target);
        EXPECT_TRUE(read->target_crashed);
        EXPECT_TRUE(read->share_used);
        EXPECT_EQ(versions.kinds, sample_sender().versions.kinds);
        ASSERT_TRUE(read->load.has_value());
        EXPECT_EQ(read->load->running, 3U);
        EXPECT_DOUBLE_EQ(read->load->slowdown, 4.5);
        EXPECT_EQ(read->load->stated_rate, 7.1);
        EXPECT_TRUE(read->load->closed);
        if (outcome == dispatch_outcome::answered)
        {
            EXPECT_EQ(read->response.result(), http::status::created);
            EXPECT_EQ(read->response.body(), "answer");
            EXPECT_EQ(read->response["Kept"], "yes");
        }
    }
}

// guards against bytes between nodes of deployments without accounts
TEST(hop_fields, result_names_no_share_unless_it_is_used)
{
    replica_versions versions;
    auto const message = write_hop_result({}, versions);
    for (auto const & field : message)
    {
        EXPECT_EQ(field.name_string().find("Share"), std::string::npos);
    }
    EXPECT_FALSE(read_hop_result(message, versions)->share_used);
}

TEST(hop_fields, rejects_result_with_unknown_refusal)
{
    dispatch_result sent;
    sent.refusal = static_cast<admission_refusal>(99);
    replica_versions versions;
    EXPECT_FALSE(read_hop_result(
                     write_hop_result(sent, sample_sender().versions), versions)
                     .has_value());
}

replica_versions versions_with_eras()
{
    replica_versions versions;
    versions.kinds = {object_version(store_era(2), 4),
                      object_version(store_era(2), 5),
                      object_version(store_era(3), 6)};
    versions.configuration_version = 17;
    return versions;
}

TEST(hop_fields, request_passes_on_eras_and_configuration_version)
{
    auto sent = sample_request();
    auto sender = sample_sender();
    sender.versions = versions_with_eras();
    write_hop_request(sent, sender, now_time);
    auto message = sent.message;
    auto const read = read_hop_sender(message);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->versions.kinds, versions_with_eras().kinds);
    EXPECT_EQ(read->versions.configuration_version, 17U);
    EXPECT_EQ(message.count("Endivehinge-Position"), 0U);
}

TEST(hop_fields, result_passes_on_eras_and_configuration_version)
{
    replica_versions read;
    auto const result = read_hop_result(
        write_hop_result(dispatch_result(), versions_with_eras()), read);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(read.kinds, versions_with_eras().kinds);
    EXPECT_EQ(read.configuration_version, 17U);
    EXPECT_EQ(result->response.count("Endivehinge-Position"), 0U);
}

// earlier versions reject these fields if they have further numbers, and then
// take an answered request for one whose outcome is unknown
TEST(hop_fields, fields_of_earlier_versions_keep_their_count_of_numbers)
{
    auto sent = sample_request();
    auto sender = sample_sender();
    sender.versions = versions_with_eras();
    write_hop_request(sent, sender, now_time);
    EXPECT_EQ(sent.message["Endivehinge-Sender"], "10.0.0.1:8000 4 5 6");
    auto const message =
        write_hop_result(dispatch_result(), versions_with_eras());
    std::string const outcome(message["Endivehinge-Outcome"]);
    EXPECT_EQ(std::count(outcome.begin(), outcome.end(), ' '), 9);
    EXPECT_EQ(outcome.substr(outcome.size() - 6), " 4 5 6");
}

TEST(hop_fields, message_of_an_earlier_version_has_no_eras)
{
    for (auto const * const position : {"", "2", "2 2 x 17", "-2 2 3 17"})
    {
        auto sent = sample_request();
        auto sender = sample_sender();
        sender.versions = versions_with_eras();
        write_hop_request(sent, sender, now_time);
        sent.message.erase("Endivehinge-Position");
        if (*position != '\0')
        {
            sent.message.set("Endivehinge-Position", position);
        }
        auto const read = read_hop_sender(sent.message);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read->versions.kinds, sample_sender().versions.kinds);
        EXPECT_EQ(read->versions.configuration_version, 0U);
        EXPECT_FALSE(read->versions.is_newer_than(versions_with_eras()));
    }
}

TEST(replica_versions, newer_era_or_configuration_is_newer)
{
    auto const known = versions_with_eras();
    auto other = known;
    EXPECT_FALSE(other.is_newer_than(known));
    other.configuration_version += 1;
    EXPECT_TRUE(other.is_newer_than(known));
    other = known;
    other.kinds[1] = object_version(store_era(3), 1);
    EXPECT_TRUE(other.is_newer_than(known));
    EXPECT_FALSE(known.is_newer_than(other));
}

TEST(replica_exchange, response_round_trip)
{
    replica_exchange sent;
    sent.age = milliseconds(7);
    sent.in_contact = true;
    sent.kinds[1] = {object_version(9),
                     true,
                     {{"zone \"x\"", object_version(8), "{\"a\":1}", false},
                      {"gone", object_version(9), "", true}}};
    failure reason;
    auto const read = replica_exchange::read(sent.write(), nullptr, reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->age, sent.age);
    EXPECT_TRUE(read->in_contact);
    EXPECT_EQ(read->kinds[1].version, object_version(9));
    EXPECT_TRUE(read->kinds[1].complete);
    ASSERT_EQ(read->kinds[1].objects.size(), 2U);
    EXPECT_EQ(read->kinds[1].objects[0].content, "{\"a\":1}");
    EXPECT_TRUE(read->kinds[1].objects[1].deleted);
    for (auto const * const bad :
         {"", "{}", "[]", "{\"age_us\":1}", "{\"age_us\":\"x\",\"kinds\":[]}"})
    {
        EXPECT_FALSE(replica_exchange::read(bad, nullptr, reason).has_value())
            << bad;
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

TEST(replica_exchange, deferred_changes_name_their_kinds_only)
{
    replica_exchange sent;
    sent.in_contact = true;
    sent.kinds[0] = {
        object_version(9), true, {{"main", object_version(8), "long", false}}};
    EXPECT_EQ(sent.content_size(), 8U);
    sent.defer();
    failure reason;
    auto const read = replica_exchange::read(sent.write(), nullptr, reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->deferred, (std::array<bool, 3>{true, false, false}));
    EXPECT_EQ(read->content_size(), 0U);
    EXPECT_EQ(read->kinds[0].version, object_version());
    EXPECT_TRUE(read->in_contact);
}

TEST(replica_exchange, request_contains_replica_versions)
{
    auto const request =
        replica_exchange::write_request(sample_sender().versions, 0);
    EXPECT_TRUE(replica_exchange::is_request(request));
    EXPECT_EQ(replica_exchange::read_request(request).kinds,
              sample_sender().versions.kinds);
    EXPECT_FALSE(replica_exchange::is_request(
        request_message{http::verb::get, "/other", 11}));
}

} // namespace
} // namespace endivehinge::detail
