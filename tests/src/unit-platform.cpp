#include <gtest/gtest.h>

#include <platform/platform.hpp>
#include <platform/platform_messages.hpp>
#include <platform/platform_reports.hpp>
#include <platform/platform_settings.hpp>
#include <platform/platform_store.hpp>

namespace endivehinge::platform
{
namespace
{

namespace http = boost::beast::http;
using detail::request_message;
using std::chrono::milliseconds;

// ---------------------------------------------------------------------------
// requests and responses
// ---------------------------------------------------------------------------

TEST(platform_messages, reads_the_load_and_the_marks_of_a_response)
{
    platform_messages const messages;
    detail::header_fields fields;
    fields.set("Server-Load", "3,1,18,250");
    fields.set("Server-Stamp", "x");
    fields.set("Cold-Ms", "1500");
    fields.set("Instance-Id", "i-1");
    auto const head = messages.read_response(200, fields);
    EXPECT_EQ(head.running, 3U);
    EXPECT_EQ(head.waiting, 1U);
    EXPECT_EQ(head.slots, 18U);
    EXPECT_DOUBLE_EQ(head.slowdown.value_or(0), 2.5);
    EXPECT_TRUE(head.from_service);
    EXPECT_FALSE(head.not_run);
    EXPECT_EQ(head.cold_remaining, milliseconds(1500));
    EXPECT_EQ(head.id, target_id("i-1"));
}

TEST(platform_messages, leaves_out_what_does_not_parse)
{
    platform_messages const messages;
    for (auto const * const bad : {"", "1,2", "a,b,c", "1,2,-3", "1,,3"})
    {
        detail::header_fields fields;
        fields.set("Server-Load", bad);
        fields.set("Cold-Ms", "soon");
        auto const head = messages.read_response(200, fields);
        EXPECT_FALSE(head.slots.has_value()) << bad;
        EXPECT_FALSE(head.cold_remaining.has_value());
    }
    detail::header_fields fields;
    fields.set("Deadline-Ms", "-5");
    EXPECT_FALSE(messages.read_request(fields).time_left.has_value());
}

TEST(platform_messages, a_response_that_was_not_run_is_told)
{
    platform_messages const messages;
    detail::header_fields fields;
    EXPECT_TRUE(messages.read_response(421, fields).not_run);
    EXPECT_TRUE(messages.read_response(421, fields).from_other_incarnation);
    EXPECT_FALSE(messages.read_response(503, fields).not_run);
    fields.set("Not-Executed", "1");
    EXPECT_TRUE(messages.read_response(503, fields).not_run);
}

TEST(platform_messages, a_client_cannot_set_what_the_system_sets)
{
    platform_messages const messages;
    detail::header_fields fields;
    fields.insert("Caller-Service", "forged");
    fields.insert("Caller-Service", "twice");
    fields.insert("Expect-Instance", "forged");
    messages.write_dispatch(
        fields, {target_id("i-1"), service_name("web"), milliseconds(1234)});
    EXPECT_EQ(fields.count("Caller-Service"), 1U);
    EXPECT_EQ(fields["Caller-Service"], "web");
    EXPECT_EQ(fields["Expect-Instance"], "i-1");
    EXPECT_EQ(fields["Deadline-Ms"], "1234");
}

// ---------------------------------------------------------------------------
// reports
// ---------------------------------------------------------------------------

request_message report(std::string const & body)
{
    request_message message{
        http::verb::post, "/api/instances/i-1/heartbeat", 11};
    message.body() = body;
    return message;
}

TEST(platform_reports, reads_a_report)
{
    failure reason;
    auto const notice = platform_reports().read_notice(
        report(R"({"address":"10.0.0.9:80","born":17,
            "info":{"service":"s","version":"v1","zone":"z","slots":12},
            "status":{"state":"draining","sequence":4,"coldRemainingS":0.5}})"),
        reason);
    ASSERT_TRUE(notice && notice->report) << reason.describe();
    EXPECT_EQ(notice->report->id, target_id("i-1"));
    EXPECT_EQ(notice->report->state, target_state::draining);
    EXPECT_EQ(notice->report->sequence, 4U);
    EXPECT_EQ(notice->report->started_ms, 17);
    EXPECT_EQ(notice->report->cold_remaining, milliseconds(500));
}

TEST(platform_reports, a_report_of_another_writer_names_no_target)
{
    for (auto const * const bad :
         {"",
          "[]",
          "{",
          "\xff\xfe",
          R"({"address":"10.0.0.9:80","info":{},"status":{}})",
          R"({"address":5,"info":{"service":"s","zone":"z","slots":1},
              "status":{"state":"ready","sequence":1}})",
          R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"z",
              "slots":"12"},"status":{"state":"ready","sequence":1}})",
          R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"z",
              "slots":12},"status":{"state":"asleep","sequence":1}})",
          R"({"address":"10.0.0.9:80","born":1.5,"info":{"service":"s",
              "zone":"z","slots":12},"status":{"state":"ready","sequence":1}})",
          R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"z",
              "slots":12},"status":{"state":"ready","sequence":-1}})",
          R"({"address":"10.0.0.9:80","info":null,"status":[]})"})
    {
        failure reason;
        EXPECT_FALSE(
            platform_reports().read_notice(report(bad), reason).has_value())
            << bad;
        EXPECT_EQ(reason.id, failure_id::invalid_message) << bad;
    }
}

TEST(platform_reports, reads_a_leave_and_refuses_other_paths)
{
    failure reason;
    auto const leave = platform_reports().read_notice(
        request_message{http::verb::post, "/api/instances/i-1/leave", 11},
        reason);
    ASSERT_TRUE(leave.has_value());
    EXPECT_FALSE(leave->report.has_value());
    for (auto const * const path : {"/api/instances//leave",
                                    "/api/instances/a/b/leave",
                                    "/api/instances/a",
                                    "/other"})
    {
        EXPECT_FALSE(
            platform_reports()
                .read_notice(request_message{http::verb::post, path, 11},
                             reason)
                .has_value())
            << path;
        EXPECT_EQ(reason.id, failure_id::not_found);
    }
}

// ---------------------------------------------------------------------------
// the store
// ---------------------------------------------------------------------------

platform_store const store_adapter_under_test(endpoint{"10.0.0.1", 80});

TEST(platform_store, reads_lists_and_watches)
{
    failure reason;
    auto const list = store_adapter_under_test.read_page(
        R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}},
            {"metadata":{"name":"b"}}, 5],"hasMore":true,"storeRevision":9})",
        reason);
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->objects.size(), 1U) << "others cannot be addressed";
    EXPECT_EQ(list->objects[0].content, R"({"x":1})");
    EXPECT_TRUE(list->has_more);
    EXPECT_EQ(list->version, object_version(9));
    auto const watch = store_adapter_under_test.read_page(
        R"({"events":[{"object":{"metadata":{"name":"a","revision":3}},
            "deleted":true},{}],"storeRevision":10})",
        reason);
    ASSERT_TRUE(watch.has_value());
    ASSERT_EQ(watch->objects.size(), 1U);
    EXPECT_TRUE(watch->objects[0].deleted);
    EXPECT_FALSE(store_adapter_under_test.read_page("{}", reason).has_value());
    EXPECT_FALSE(store_adapter_under_test.read_page("", reason).has_value());
}

TEST(platform_store, reads_a_configuration)
{
    failure reason;
    auto const read = store_adapter_under_test.read_configuration(
        {"main",
         object_version(1),
         R"({"version":"r12","routes":{"one":{"hostname":"h","pathPrefix":"/p/",
            "routeType":"safe","timeoutS":1.5,"targetLatencyS":0.5,
            "priority":2,"maxAttempts":2,"trafficSplit":[
            {"service":"a","weight":90},{"service":"b","weight":10}]},
            "two":{"hostname":"h","pathPrefix":"/q/","routeType":"unsafe",
            "service":"a"}},
            "services":{"a":{"healthCheckPath":"/health","coldPerS":19.0}},
            "limits":{"maxHeaderBytes":16384,"idleTimeoutS":15}})",
         false},
        reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->version, 12U);
    auto const * const one = read->find_route("h", "/p/1");
    ASSERT_NE(one, nullptr);
    EXPECT_TRUE(one->idempotent);
    EXPECT_EQ(one->timeout, milliseconds(1500));
    EXPECT_EQ(one->parts.size(), 2U);
    EXPECT_FALSE(read->find_route("h", "/q/1")->idempotent);
    EXPECT_DOUBLE_EQ(
        read->find_service(service_name("a"))->cold_requests_per_second, 19);
    EXPECT_EQ(read->limits.idle_timeout, std::chrono::seconds(15));
}

TEST(platform_store, a_configuration_that_does_not_hold_is_not_read)
{
    for (auto const * const bad :
         {"",
          "{}",
          R"({"version":"12","routes":{},"services":{}})",
          R"({"version":"r1","routes":[],"services":{}})",
          R"({"version":"r1","routes":{"a":{"hostname":"h"}},"services":{}})",
          R"({"version":"r1","routes":{"a":{"hostname":"h","pathPrefix":"/",
              "routeType":"safe","timeoutS":-1,"service":"s"}},
              "services":{}})"})
    {
        failure reason;
        EXPECT_FALSE(store_adapter_under_test
                         .read_configuration(
                             {"main", object_version(1), bad, false}, reason)
                         .has_value())
            << bad;
        EXPECT_EQ(reason.id, failure_id::invalid_configuration) << bad;
    }
}

TEST(platform_store, an_entry_survives_the_store)
{
    target_entry entry;
    entry.node = node_name("n-1");
    entry.peer = {"10.0.0.2", 8300};
    entry.id = target_id("i-1");
    entry.service = service_name("s");
    entry.domain = failure_domain("z");
    entry.state = target_state::draining;
    entry.slots = 12;
    auto const request =
        store_adapter_under_test.replace_request(entry, object_version(4));
    EXPECT_EQ(request.method(), http::verb::put);
    failure reason;
    auto const object =
        store_adapter_under_test.read_object(request.body(), reason);
    ASSERT_TRUE(object.has_value()) << reason.describe();
    EXPECT_EQ(object->version, object_version(4));
    auto const read = store_adapter_under_test.read_target(*object, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(*read, entry);
}

TEST(platform_store, an_entry_of_another_writer_names_no_target)
{
    for (auto const * const bad : {"",
                                   "null",
                                   "{}",
                                   R"({"peer":"x","target":"i","service":"s",
                                       "domain":"z","state":"ready","slots":1})",
                                   R"({"peer":"10.0.0.1:1","target":"i",
                                       "service":"s","domain":"z",
                                       "state":"odd","slots":1})",
                                   R"({"peer":"10.0.0.1:1","target":7,
                                       "service":"s","domain":"z",
                                       "state":"ready","slots":1})"})
    {
        failure reason;
        EXPECT_FALSE(
            store_adapter_under_test
                .read_target({"n", object_version(1), bad, false}, reason)
                .has_value())
            << bad;
    }
}

// ---------------------------------------------------------------------------
// settings
// ---------------------------------------------------------------------------

constexpr char const * complete_settings = R"(
nodeName = "n-1"
zone = "z"
service = "s"
appAddr = "10.0.0.1:8301"
seeds = ["10.0.0.2:8306", "nonsense"]
unknownField = 5
bounds = ["graceS=4","retryBudgetBurst=62","retryBudgetRatio=0.25","odd"]
[listen]
inbound = "10.0.0.1:8300"
outbound = "10.0.0.1:8304"
ready = "10.0.0.1:8302"
control = "10.0.0.1:8306"
[platform]
address = "10.0.0.9:8309"
)";

TEST(platform_settings, reads_what_it_knows_and_ignores_the_rest)
{
    failure reason;
    auto const read = read_settings(complete_settings, reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->node, node_name("n-1"));
    EXPECT_EQ(read->client_listener.port, 8304);
    EXPECT_EQ(read->seeds.size(), 1U);
    EXPECT_EQ(read->bounds.stop_grace, std::chrono::seconds(4));
    EXPECT_DOUBLE_EQ(read->bounds.retry_share, 0.25);
}

TEST(platform_settings, names_the_field_that_is_missing)
{
    std::string text = complete_settings;
    text.replace(text.find("ready = "), 5, "raedy");
    failure reason;
    EXPECT_FALSE(read_settings(text, reason).has_value());
    EXPECT_EQ(reason.id, failure_id::invalid_settings);
    EXPECT_NE(reason.detail.find("listen.ready"), std::string::npos);
    EXPECT_FALSE(read_settings("= broken", reason).has_value());
    EXPECT_FALSE(load_settings("/does/not/exist", reason).has_value());
}

} // namespace
} // namespace endivehinge::platform
