#include <absl/strings/str_cat.h> // StrAppend
#include <gtest/gtest.h>

#include <nlohmann/json.hpp> // json

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
// header fields of requests and responses
// ---------------------------------------------------------------------------

TEST(platform_messages, reads_all_fields_of_a_response)
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

TEST(platform_messages, ignores_invalid_header_values)
{
    platform_messages const messages;
    for (auto const * const invalid : {"", "1,2", "a,b,c", "1,2,-3", "1,,3"})
    {
        detail::header_fields fields;
        fields.set("Server-Load", invalid);
        fields.set("Cold-Ms", "soon");
        auto const head = messages.read_response(200, fields);
        EXPECT_FALSE(head.slots.has_value()) << invalid;
        EXPECT_FALSE(head.cold_remaining.has_value());
    }
    detail::header_fields fields;
    fields.set("Deadline-Ms", "-5");
    EXPECT_FALSE(messages.read_request(fields).time_left.has_value());
}

TEST(platform_messages, detects_a_request_that_was_not_executed)
{
    platform_messages const messages;
    detail::header_fields fields;
    EXPECT_TRUE(messages.read_response(421, fields).not_run);
    EXPECT_TRUE(messages.read_response(421, fields).from_other_incarnation);
    EXPECT_FALSE(messages.read_response(503, fields).not_run);
    fields.set("Not-Executed", "1");
    EXPECT_TRUE(messages.read_response(503, fields).not_run);
}

TEST(platform_messages, replaces_reserved_header_fields_set_by_a_client)
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
// target reports
// ---------------------------------------------------------------------------

request_message report_request(std::string const & body)
{
    request_message message{
        http::verb::post, "/api/instances/i-1/heartbeat", 11};
    message.body() = body;
    return message;
}

TEST(platform_reports, reads_a_valid_report)
{
    failure reason;
    auto const notice = platform_reports().read_notice(
        report_request(R"({"address":"10.0.0.9:80","born":17,
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

TEST(platform_reports, rejects_malformed_reports)
{
    for (auto const * const invalid :
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
        EXPECT_FALSE(platform_reports()
                         .read_notice(report_request(invalid), reason)
                         .has_value())
            << invalid;
        EXPECT_EQ(reason.id, failure_id::invalid_message) << invalid;
    }
}

TEST(platform_reports, reads_a_leave_notice_and_rejects_other_paths)
{
    failure reason;
    auto const notice = platform_reports().read_notice(
        request_message{http::verb::post, "/api/instances/i-1/leave", 11},
        reason);
    ASSERT_TRUE(notice.has_value());
    EXPECT_FALSE(notice->report.has_value());
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
// object store
// ---------------------------------------------------------------------------

platform_store const store_adapter_under_test(endpoint{"10.0.0.1", 80});

TEST(platform_store, reads_list_pages_and_watch_events)
{
    failure reason;
    auto const list = store_adapter_under_test.read_page(
        detail::object_kind::targets,
        R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}},
            {"metadata":{"name":"b"}}, 5],"hasMore":true,"storeRevision":9})",
        store_era(2),
        reason);
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->objects.size(), 1U)
        << "items without a name or revision must be skipped";
    EXPECT_EQ(list->objects[0].content, R"({"x":1})");
    EXPECT_TRUE(list->has_more);
    EXPECT_EQ(list->version, object_version(store_era(2), 9));
    EXPECT_EQ(list->objects[0].version, object_version(store_era(2), 3));
    auto const watch = store_adapter_under_test.read_page(
        detail::object_kind::targets,
        R"({"events":[{"object":{"metadata":{"name":"a","revision":3}},
            "deleted":true},{}],"storeRevision":10})",
        store_era(2),
        reason);
    ASSERT_TRUE(watch.has_value());
    ASSERT_EQ(watch->objects.size(), 1U);
    EXPECT_TRUE(watch->objects[0].deleted);
    EXPECT_EQ(watch->objects[0].version, object_version(store_era(2), 3));
    for (auto const * const bad : {"{}", ""})
    {
        EXPECT_FALSE(
            store_adapter_under_test
                .read_page(
                    detail::object_kind::targets, bad, store_era(2), reason)
                .has_value());
    }
}

TEST(platform_store, reads_the_era_of_an_answer_of_any_status)
{
    for (auto const status : {http::status::ok,
                              http::status::gone,
                              http::status::too_many_requests})
    {
        detail::response_message answer{status, 11};
        EXPECT_FALSE(store_adapter_under_test.read_era(answer).has_value());
        answer.set("Store-Era", "12");
        EXPECT_EQ(store_adapter_under_test.read_era(answer), store_era(12));
    }
}

TEST(platform_store, era_that_cannot_be_read_counts_as_not_stated)
{
    detail::response_message answer{http::status::ok, 11};
    for (auto const * const bad : {"", "0", "-1", "e3", "1.5"})
    {
        answer.set("Store-Era", bad);
        EXPECT_FALSE(store_adapter_under_test.read_era(answer).has_value())
            << bad;
    }
}

TEST(platform_store, reads_a_configuration)
{
    failure reason;
    auto const configuration = store_adapter_under_test.read_configuration(
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
        nullptr,
        reason);
    ASSERT_TRUE(configuration.has_value()) << reason.describe();
    EXPECT_EQ(configuration->version, 12U);
    auto const * const route = configuration->find_route("h", "/p/1");
    ASSERT_NE(route, nullptr);
    EXPECT_TRUE(route->idempotent);
    EXPECT_EQ(route->timeout, milliseconds(1500));
    EXPECT_EQ(route->parts.size(), 2U);
    EXPECT_FALSE(configuration->find_route("h", "/q/1")->idempotent);
    EXPECT_DOUBLE_EQ(configuration->find_service(service_name("a"))
                         ->cold_requests_per_second,
                     19);
    EXPECT_EQ(configuration->limits.idle_timeout, std::chrono::seconds(15));
}

TEST(platform_store, rejects_an_invalid_configuration)
{
    for (auto const * const invalid :
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
        EXPECT_FALSE(
            store_adapter_under_test
                .read_configuration({"main", object_version(1), invalid, false},
                                    nullptr,
                                    reason)
                .has_value())
            << invalid;
        EXPECT_EQ(reason.id, failure_id::invalid_configuration) << invalid;
    }
}

/// @brief a configuration with two routes
/// @param timeout_s of the second route
replicated_object two_routes(std::string const & timeout_s)
{
    return {
        "main",
        object_version(1),
        R"({"version":"r12","routes":{"b":{"hostname":"h","pathPrefix":"/b/",
               "routeType":"safe","timeoutS":)" +
            timeout_s + R"(,"service":"s"},
               "a":{"hostname":"h","pathPrefix":"/a/","routeType":"safe",
               "timeoutS":1,"service":"s"}},"services":{}})",
        false};
}

// Reading all routes again for a change of one took seconds at nodes with a
// tenth of a processor.
TEST(platform_store, only_changed_routes_of_a_configuration_are_read)
{
    failure reason;
    auto previous = store_adapter_under_test.read_configuration(
        two_routes("2"), nullptr, reason);
    ASSERT_TRUE(previous.has_value()) << reason.describe();
    ASSERT_EQ(previous->routes.size(), 2U);
    EXPECT_EQ(previous->routes[0].name, "a") << "sorted by name";
    // shows which routes are taken from here
    previous->routes[0].rank = 77;
    previous->routes[1].rank = 77;
    auto const next = store_adapter_under_test.read_configuration(
        two_routes("3"), &*previous, reason);
    ASSERT_TRUE(next.has_value()) << reason.describe();
    ASSERT_EQ(next->routes.size(), 2U);
    EXPECT_EQ(next->routes[0].rank, 77U);
    EXPECT_EQ(next->routes[1].rank, 0U);
    EXPECT_EQ(next->routes[1].timeout, std::chrono::seconds(3));
}

TEST(platform_store, renamed_route_is_read_again)
{
    failure reason;
    auto previous = store_adapter_under_test.read_configuration(
        two_routes("1"), nullptr, reason);
    ASSERT_TRUE(previous.has_value());
    auto renamed = two_routes("1");
    renamed.content.replace(renamed.content.find("\"a\":"), 4, "\"c\":");
    auto const next = store_adapter_under_test.read_configuration(
        renamed, &*previous, reason);
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->routes[1].name, "c");
    EXPECT_EQ(next->routes[1].path_prefix, "/a/");
}

TEST(platform_store, page_of_configurations_keeps_their_text)
{
    failure reason;
    std::string const spec = R"({"version": "r1", "routes": {}})";
    auto const page = store_adapter_under_test.read_page(
        detail::object_kind::configuration,
        R"({"events":[{"deleted":false,"object":{"metadata":{"name":"main",)"
        R"("revision":7},"spec":)" +
            spec +
            R"(}},{"object":{"spec":{},"metadata":{"name":"x",)"
            R"("revision":8}},"deleted":true}],"storeRevision":9})",
        store_era(3),
        reason);
    ASSERT_TRUE(page.has_value()) << reason.describe();
    EXPECT_EQ(page->version, object_version(store_era(3), 9));
    ASSERT_EQ(page->objects.size(), 2U);
    EXPECT_EQ(page->objects[0].name, "main");
    EXPECT_EQ(page->objects[0].version, object_version(store_era(3), 7));
    EXPECT_EQ(page->objects[0].content, spec);
    EXPECT_FALSE(page->objects[0].deleted);
    EXPECT_TRUE(page->objects[1].deleted);
}

std::optional<routing_configuration> read_tenants(std::string const & tenants,
                                                  failure & reason)
{
    return store_adapter_under_test.read_configuration(
        {"main",
         object_version(1),
         R"({"version":"r1","routes":{"a":{"hostname":"h","pathPrefix":"/p/",
            "routeType":"safe","service":"s","public":true}},"services":{},
            "tenants":)" +
             tenants + "}",
         false},
        nullptr,
        reason);
}

TEST(platform_store, reads_accounts_and_public_routes)
{
    failure reason;
    auto const configuration = read_tenants(
        R"({"b":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":306.5,
            "burst":1e9},"a":{"apiKeys":[]}})",
        reason);
    ASSERT_TRUE(configuration.has_value()) << reason.describe();
    EXPECT_TRUE(configuration->requires_accounts);
    EXPECT_TRUE(configuration->routes[0].is_public);
    auto const * const account = configuration->find_account_of_key("k2");
    ASSERT_NE(account, nullptr);
    EXPECT_EQ(account->name, account_name("b"));
    EXPECT_EQ(account->rank, 0U);
    EXPECT_DOUBLE_EQ(account->requests_per_second, 306.5);
    EXPECT_DOUBLE_EQ(account->burst, 1e9);
    EXPECT_FALSE(configuration->find_account(account_name("a"))->rank);
    EXPECT_TRUE(read_tenants("{}", reason)->requires_accounts);
}

// A configuration with an account that cannot be read must not come into force
// in part: its limits or its keys would be missing.
TEST(platform_store, rejects_invalid_accounts)
{
    for (auto const * const invalid :
         {"null",
          "[]",
          "7",
          R"({"a":null})",
          R"({"a":[]})",
          R"({"a":{}})",
          R"({"":{"apiKeys":[]}})",
          R"({"a\r\nX: y":{"apiKeys":[]}})",
          R"({"a":{"apiKeys":"k"}})",
          R"({"a":{"apiKeys":[""]}})",
          R"({"a":{"apiKeys":[7]}})",
          R"({"a":{"apiKeys":["k"]},"b":{"apiKeys":["k"]}})",
          R"({"a":{"apiKeys":["k"],"ratePerS":-1}})",
          R"({"a":{"apiKeys":["k"],"ratePerS":"7"}})",
          R"({"a":{"apiKeys":["k"],"ratePerS":null}})",
          R"({"a":{"apiKeys":["k"],"burst":-0.5}})",
          R"({"a":{"apiKeys":["k"],"burst":true}})",
          R"({"a":{"apiKeys":["k"],"ratePerS":1e999}})",
          R"({"a":{"apiKeys":["k"],"ratePerS":NaN}})",
          R"({"a":{"apiKeys":["k"],"priority":-1}})",
          R"({"a":{"apiKeys":["k"],"priority":4294967296}})"})
    {
        failure reason;
        EXPECT_FALSE(read_tenants(invalid, reason).has_value()) << invalid;
        EXPECT_EQ(reason.id, failure_id::invalid_configuration) << invalid;
    }
}

// An unreadable string in one object made the whole list of the store
// unreadable: after a restart of all nodes no target was found.
TEST(platform_store, unreadable_string_hides_no_other_object)
{
    for (std::string const value :
         {"desk \\ud83d", "\\udc00", "\xFF\xFE", "a\x01", "\\x", "\xC3"})
    {
        for (std::string const & field : {"\"target\":\"" + value + "\"",
                                          "\"" + value + "\" : 5",
                                          "\"other\":[\"" + value + "\"]"})
        {
            failure reason;
            auto const page = store_adapter_under_test.read_page(
                detail::object_kind::targets,
                R"({"storeRevision":7,"items":[
                    {"metadata":{"name":"a","revision":1},"spec":{)" +
                    field +
                    R"(}},
                    {"metadata":{"name":"b","revision":2},
                     "spec":{"text":"caf\u00e9 \ud83d\ude00"}}]})",
                store_era(1),
                reason);
            ASSERT_TRUE(page.has_value()) << field << reason.describe();
            ASSERT_EQ(page->objects.size(), 2U) << field;
            EXPECT_FALSE(
                store_adapter_under_test.read_target(page->objects[0], reason));
            EXPECT_EQ(page->objects[1].content,
                      "{\"text\":\"caf\xC3\xA9 \xF0\x9F\x98\x80\"}");
        }
    }
}

TEST(platform_store, object_with_an_unreadable_name_is_left_out)
{
    failure reason;
    auto const page =
        store_adapter_under_test.read_page(detail::object_kind::configuration,
                                           R"({"storeRevision":7,"items":[
            {"metadata":{"name":"\ud83d","revision":1},"spec":{}},
            {"metadata":{"name":"main","revision":2},"spec":{}}]})",
                                           store_era(1),
                                           reason);
    ASSERT_TRUE(page.has_value()) << reason.describe();
    ASSERT_EQ(page->objects.size(), 1U);
    EXPECT_EQ(page->objects[0].name, "main");
}

// An ID of more than 65,535 bytes ended the node that placed a request there.
TEST(platform_store, entry_with_a_text_that_cannot_be_sent_names_no_target)
{
    nlohmann::json const valid = {{"peer", "10.0.0.1:1"},
                                  {"target", "i"},
                                  {"service", "s"},
                                  {"domain", "z"},
                                  {"state", "ready"},
                                  {"slots", 1}};
    auto const is_read = [](nlohmann::json const & spec)
    {
        failure reason;
        return store_adapter_under_test
            .read_target({"n", object_version(1), spec.dump(), false}, reason)
            .has_value();
    };
    EXPECT_TRUE(is_read(valid));
    for (auto const * const name : {"target", "service", "domain"})
    {
        for (auto const & text : {std::string(70000, 'x'),
                                  std::string("i\r\nX: y"),
                                  std::string("i ")})
        {
            nlohmann::json spec = valid;
            spec[name] = text;
            EXPECT_FALSE(is_read(spec)) << name;
        }
    }
}

// A number that is not finite, in one object, made the whole list of the store
// unreadable, so that nodes lost all later changes.
TEST(platform_store, number_that_is_not_finite_hides_no_other_object)
{
    for (auto const * const number :
         {"NaN", "Infinity", "-Infinity", "1e999", "-1E+999"})
    {
        failure reason;
        auto const page = store_adapter_under_test.read_page(
            detail::object_kind::targets,
            std::string(R"({"storeRevision":7,"items":[
                {"metadata":{"name":"a","revision":1},
                 "spec":{"rate":)") +
                number + R"(,"text":"NaN \" 1e999"}},
                {"metadata":{"name":"b","revision":2},"spec":{"rate":1e9}}]})",
            store_era(1),
            reason);
        ASSERT_TRUE(page.has_value()) << number << reason.describe();
        EXPECT_EQ(page->objects.size(), 2U) << number;
    }
    failure reason;
    EXPECT_FALSE(store_adapter_under_test.read_page(
        detail::object_kind::targets,
        R"({"storeRevision":nan,"items":[]})",
        store_era(1),
        reason));
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// One object with 100,000 levels ended all nodes that read the list.
TEST(platform_store, deeply_nested_object_hides_no_other_object)
{
    for (auto const & value : {nested(100000),
                               R"(["]]]]]]]]",)" + nested(100000) + "]",
                               "{\"x\":" + nested(100000) + "}"})
    {
        failure reason;
        auto const page =
            store_adapter_under_test.read_page(detail::object_kind::targets,
                                               R"({"storeRevision":7,"items":[
                {"metadata":{"name":"a","revision":1},"spec":)" +
                                                   value + R"(},
                {"metadata":{"name":"b","revision":2},"spec":{"rate":5}}]})",
                                               store_era(1),
                                               reason);
        ASSERT_TRUE(page.has_value()) << reason.describe();
        ASSERT_EQ(page->objects.size(), 2U);
        EXPECT_FALSE(
            store_adapter_under_test.read_target(page->objects[0], reason));
        EXPECT_EQ(page->objects[1].content, R"({"rate":5})");
    }
}

// The other readers of what the platform sends
TEST(platform_store, deeply_nested_values_are_only_left_out)
{
    auto const deep = nested(100000);
    failure reason;
    replicated_object object;
    object.name = "deep";
    for (auto const & content :
         {deep, R"({"version":"r1","routes":)" + deep + "}"})
    {
        object.content = content;
        EXPECT_FALSE(store_adapter_under_test.read_configuration(
            object, nullptr, reason));
        EXPECT_FALSE(store_adapter_under_test.read_target(object, reason));
        EXPECT_FALSE(store_adapter_under_test.read_rollout(object, reason));
        EXPECT_FALSE(store_adapter_under_test.read_object(
            detail::object_kind::targets, content, store_era(1), reason));
    }
}

// The type error ended the process.
TEST(platform_store, event_with_an_invalid_mark_is_no_deletion)
{
    failure reason;
    auto const page =
        store_adapter_under_test.read_page(detail::object_kind::targets,
                                           R"({"storeRevision":7,"events":[
            {"deleted":"yes",
             "object":{"metadata":{"name":"a","revision":1},"spec":{}}},
            "odd", {"object":7}]})",
                                           store_era(1),
                                           reason);
    ASSERT_TRUE(page.has_value()) << reason.describe();
    ASSERT_EQ(page->objects.size(), 1U);
    EXPECT_FALSE(page->objects[0].deleted);
}

// A quadratic pass over the accounts would take minutes.
TEST(platform_store, reads_100000_accounts)
{
    std::string tenants = "{";
    for (int i = 0; i < 100000; ++i)
    {
        auto const number = std::to_string(i);
        absl::StrAppend(&tenants,
                        i == 0 ? "\"t" : ",\"t",
                        number,
                        R"(":{"apiKeys":["x)",
                        number,
                        R"(","y)",
                        number,
                        R"("],"ratePerS":1})");
    }
    failure reason;
    auto const configuration = read_tenants(tenants + "}", reason);
    ASSERT_TRUE(configuration.has_value()) << reason.describe();
    EXPECT_EQ(configuration->find_account_of_key("y99999")->name,
              account_name("t99999"));
}

// Credentials that are read wrongly let a request run without or with another
// account.
TEST(platform_messages, reads_one_key_of_the_known_scheme)
{
    platform_messages const messages;
    EXPECT_EQ(messages.read_credentials({}).kind, credentials_kind::absent);
    std::string const long_key(16384, 'k');
    for (auto const & [value, expected] :
         std::vector<std::pair<std::string, std::string>>{
             {"Token abc", "abc"},
             {"token \t abc ", "abc"},
             {"Token " + long_key, long_key},
             {"Token a b", "a b"}})
    {
        detail::header_fields fields;
        fields.set("authorization", value);
        auto const credentials = messages.read_credentials(fields);
        EXPECT_EQ(credentials.kind, credentials_kind::key) << value;
        EXPECT_EQ(credentials.key, expected);
    }
    for (auto const * const other : {"", "Basic abc", "Tokenabc", "Bearer abc"})
    {
        detail::header_fields fields;
        fields.set("Authorization", other);
        EXPECT_EQ(messages.read_credentials(fields).kind,
                  credentials_kind::absent)
            << other;
    }
    for (auto const * const empty : {"Token", "Token  "})
    {
        detail::header_fields fields;
        fields.set("Authorization", empty);
        EXPECT_EQ(messages.read_credentials(fields).kind,
                  credentials_kind::ambiguous)
            << empty;
    }
    detail::header_fields fields;
    fields.insert("Authorization", "Token abc");
    fields.insert("AUTHORIZATION", "Basic abc");
    EXPECT_EQ(messages.read_credentials(fields).kind,
              credentials_kind::ambiguous);
}

// A target that trusts the name of an account must not get one that a client
// wrote, and never the key.
TEST(platform_messages, account_replaces_what_the_client_stated)
{
    platform_messages const messages;
    for (auto const * const name : {"pulo780", ""})
    {
        detail::header_fields fields;
        fields.insert("Authorization", "Token abc");
        fields.insert("authorization", "Basic abc");
        fields.insert("Tenant-Id", "forged");
        fields.insert("tenant-id", "twice");
        messages.write_account(fields, account_name(name));
        EXPECT_EQ(fields.count("Authorization"), 0U);
        EXPECT_EQ(fields.count("Tenant-Id"), *name == 0 ? 0U : 1U);
        EXPECT_EQ(fields["Tenant-Id"], name);
    }
}

TEST(platform_messages, unreadable_rate_limit_names_none)
{
    platform_messages const messages;
    auto const read = [&messages](char const * text)
    {
        detail::header_fields fields;
        fields.set("Server-Limit", text);
        return messages.read_response(200, fields);
    };
    EXPECT_EQ(read("3.2").rate_limit, 3.2);
    EXPECT_EQ(read("0").rate_limit, 0.0);
    EXPECT_FALSE(read("3.2").rate_limit_is_invalid);
    for (auto const * const invalid : {"", "x", "-1", "nan", "inf", "1e300"})
    {
        EXPECT_FALSE(read(invalid).rate_limit.has_value()) << invalid;
        EXPECT_TRUE(read(invalid).rate_limit_is_invalid) << invalid;
    }
    EXPECT_FALSE(messages.read_response(200, detail::header_fields())
                     .rate_limit_is_invalid);
}

TEST(platform_store, restores_a_target_entry_that_it_wrote)
{
    target_entry entry;
    entry.node = node_name("n-1");
    entry.peer = {"10.0.0.2", 8300};
    entry.id = target_id("i-1");
    entry.service = service_name("s");
    entry.domain = failure_domain("z");
    entry.state = target_state::draining;
    entry.slots = 12;
    entry.crashing_requests = {{request_fingerprint(~std::uint64_t{0}), 5000},
                               {request_fingerprint(7), 6000}};
    auto const request =
        store_adapter_under_test.replace_request(entry, object_version(4));
    EXPECT_EQ(request.method(), http::verb::put);
    failure reason;
    auto const object =
        store_adapter_under_test.read_object(detail::object_kind::targets,
                                             request.body().text(),
                                             store_era(2),
                                             reason);
    ASSERT_TRUE(object.has_value()) << reason.describe();
    EXPECT_EQ(object->version, object_version(store_era(2), 4));
    auto const restored = store_adapter_under_test.read_target(*object, reason);
    ASSERT_TRUE(restored.has_value()) << reason.describe();
    EXPECT_EQ(*restored, entry);
}

TEST(platform_store, ignores_malformed_crashing_requests_of_an_entry)
{
    for (auto const * const malformed :
         {"7", "null", "{}", R"([1, {"fingerprint": -1, "expires_ms": 1}])"})
    {
        failure reason;
        auto const entry = store_adapter_under_test.read_target(
            {"n",
             object_version(1),
             std::string(R"({"peer":"10.0.0.1:1","target":"i","service":"s",
                             "domain":"z","state":"ready","slots":1,
                             "crashing":)") +
                 malformed + "}",
             false},
            reason);
        ASSERT_TRUE(entry.has_value()) << malformed;
        EXPECT_TRUE(entry->crashing_requests.empty()) << malformed;
    }
}

TEST(platform_store, rejects_malformed_target_entries)
{
    for (auto const * const invalid :
         {"",
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
                .read_target({"n", object_version(1), invalid, false}, reason)
                .has_value())
            << invalid;
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
[limits]
memoryMb = 160
maxFds = 4100
[platform]
address = "10.0.0.9:8309"
)";

TEST(platform_settings, ignores_unknown_fields_and_invalid_entries)
{
    failure reason;
    auto const settings = read_settings(complete_settings, reason);
    ASSERT_TRUE(settings.has_value()) << reason.describe();
    EXPECT_EQ(settings->node, node_name("n-1"));
    EXPECT_EQ(settings->client_listener.port, 8304);
    EXPECT_EQ(settings->seeds.size(), 1U);
    EXPECT_EQ(settings->bounds.stop_grace, std::chrono::seconds(4));
    EXPECT_DOUBLE_EQ(settings->bounds.retry_share, 0.25);
    EXPECT_EQ(settings->memory_limit, std::size_t{160} * 1024 * 1024);
    EXPECT_EQ(settings->descriptor_limit, 4100U);
}

TEST(platform_settings, reports_the_missing_field)
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
