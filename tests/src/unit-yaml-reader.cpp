#include <string> // string

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <endivehinge/detail/settings/configuration_writer.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

using ::testing::AllOf;
using ::testing::HasSubstr;

struct bad_text
{
    char const * name;
    char const * text;
    // where it is and what it is about
    char const * place;
    char const * fix;
};

void PrintTo(bad_text const & tried, std::ostream * out) // NOLINT
{
    *out << tried.name;
}

constexpr char const * good_settings = R"(name: listings-1
service: listings
failure_domain: almaty-a
region: almaty
listen:
  ingress: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  control: 127.0.0.1:8082
  admin: "[::1]:8083"
platform: 127.0.0.1:9000
shutdown_deadline_s: 20
)";

std::string
replaced(std::string text, std::string const & part, std::string const & by)
{
    return text.replace(text.find(part), part.size(), by);
}

TEST(settings_reader, reads_every_field)
{
    failure reason;
    auto const read = read_node_settings(good_settings, "node.yaml", reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->name, node_name("listings-1"));
    EXPECT_EQ(read->admin, (endpoint{"::1", 8083}));
    EXPECT_EQ(read->platform.port, 9000);
    EXPECT_EQ(read->shutdown_deadline, std::chrono::seconds(20));
}

struct bad_edit
{
    char const * part;
    char const * by;
    char const * place;
    char const * fix;
};

void PrintTo(bad_edit const & tried, std::ostream * out) // NOLINT
{
    *out << tried.by;
}

class bad_settings : public ::testing::TestWithParam<bad_edit>
{
};

TEST_P(bad_settings, are_refused_with_place_and_fix)
{
    auto const & [part, by, place, fix] = this->GetParam();
    failure reason;
    auto const read = read_node_settings(
        replaced(good_settings, part, by), "node.yaml", reason);
    EXPECT_FALSE(read.has_value());
    EXPECT_EQ(reason.id, failure_id::invalid_settings);
    EXPECT_THAT(reason.describe(), AllOf(HasSubstr(place), HasSubstr(fix)));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    bad_settings,
    ::testing::Values(
        bad_edit{"region", "regoin", "node.yaml:1: region", "add 'region:'"},
        bad_edit{"platform:", "weight: 1\nplatform:", ":10: weight", "known"},
        bad_edit{"region: almaty", "name: b", "node.yaml:4: name", "keep one"},
        bad_edit{"deadline_s: 20", "deadline_s: 20s", ":11:", "seconds from 1"},
        bad_edit{"deadline_s: 20", "deadline_s: 0", ":11:", "from 1 to 600"},
        bad_edit{"deadline_s", "deadline_ms", ":11:", "shutdown_deadline_s"},
        bad_edit{
            "127.0.0.1:8081", "node-b:8081", ":7: listen.peers", "IP:PORT"},
        bad_edit{"127.0.0.1:8081", "127.0.0.1", ":7: listen.peers", "IP:PORT"},
        bad_edit{"127.0.0.1:8081", "127.0.0.1:99999", ":7:", "IP:PORT"},
        bad_edit{
            "127.0.0.1:8081", "0.0.0.0:8081", "listen.peers", "peers reach"},
        bad_edit{":8081", ":8080", "listen uses", "own port"},
        bad_edit{":9000", ":0", "platform has port 0", "the port"},
        bad_edit{"listings-1", "'listings 1'", ":1: name", "letters"},
        bad_edit{"listings-1", "[a]", ":1: name", "one value"},
        bad_edit{"name: listings-1", "name: [", "not YAML", "mend"},
        bad_edit{good_settings, "text", ":1: the text", "field: value"},
        bad_edit{good_settings, "", "the text", "field: value"}));

constexpr char const * whole_service = R"(
services:
  - name: booking
    depends_on: [archive]
    deadline_ms: 1500
    routes:
      - {method: GET, path: /booking/list, repeatable: true}
      - {path: /booking/check, priority: internal_check, deadline_ms: 40}
    objective: {target_share: 0.995, latency_ms: 120}
    retry_share: 0.2
    hedge_share: 0
    measurements_per_second: 2.5
    idempotency_window_s: 900
  - name: archive
)";

TEST(configuration_reader, reads_every_field)
{
    failure reason;
    auto const read = read_configuration(whole_service, "mesh.yaml", reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    auto const & booking = read->services.at(0);
    EXPECT_EQ(booking.depends_on.at(0), service_name("archive"));
    EXPECT_EQ(booking.deadline, std::chrono::milliseconds(1500));
    EXPECT_TRUE(booking.routes.at(0).repeatable);
    EXPECT_EQ(booking.routes.at(1).urgency, priority::internal_check);
    EXPECT_EQ(booking.routes.at(1).deadline, std::chrono::milliseconds(40));
    EXPECT_EQ(booking.objective.target_share, 0.995);
    EXPECT_EQ(booking.objective.latency, std::chrono::milliseconds(120));
    EXPECT_EQ(booking.retry_share, 0.2);
    EXPECT_EQ(booking.hedge_share, 0);
    EXPECT_EQ(booking.measurements_per_second, 2.5);
    EXPECT_EQ(booking.idempotency_window, std::chrono::minutes(15));
    EXPECT_EQ(read->services.at(1).deadline, std::chrono::seconds(1));
}

TEST(configuration_reader, reads_back_what_the_writer_writes)
{
    failure reason;
    auto const read = read_configuration(whole_service, "mesh.yaml", reason);
    ASSERT_TRUE(read.has_value());
    for (auto const & service : read->services)
    {
        auto const text = write_service_configuration(service);
        auto const again = read_service_configuration(text, "one", reason);
        ASSERT_TRUE(again.has_value()) << reason.describe() << text;
        EXPECT_EQ(write_service_configuration(*again), text);
        EXPECT_EQ(again->name, service.name);
    }
}

class bad_configuration : public ::testing::TestWithParam<bad_text>
{
};

TEST_P(bad_configuration, is_refused_with_place_and_fix)
{
    auto const & tried = this->GetParam();
    failure reason;
    EXPECT_FALSE(read_configuration(tried.text, "mesh.yaml", reason));
    EXPECT_EQ(reason.id, failure_id::invalid_configuration);
    EXPECT_THAT(reason.describe(),
                AllOf(HasSubstr(tried.place), HasSubstr(tried.fix)));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    bad_configuration,
    ::testing::Values(
        bad_text{"none", "services: []", ":1: services", "1 to"},
        bad_text{"no list", "services: 3", ":1: services", "'- '"},
        bad_text{"other field", "service: []", "services is missing", "add"},
        bad_text{"no name",
                 "services:\n  - deadline_ms: 3",
                 ":2: services[0].name",
                 "add 'name:'"},
        bad_text{"unknown field",
                 "services:\n  - name: a\n    weight: 3",
                 ":3: services[0].weight",
                 "known are name"},
        bad_text{"wrong unit",
                 "services:\n  - name: a\n    deadline_s: 3",
                 ":3: services[0].deadline_s has the wrong unit",
                 "write deadline_ms"},
        bad_text{"no unit",
                 "services:\n  - name: a\n    deadline: 3",
                 "wrong unit",
                 "write deadline_ms"},
        bad_text{"unit in value",
                 "services:\n  - name: a\n    deadline_ms: 3s",
                 ":3: services[0].deadline_ms is '3s'",
                 "without a unit"},
        bad_text{"share over one",
                 "services:\n  - name: a\n    retry_share: 1.5",
                 ":3: services[0].retry_share",
                 "from 0 to 1"},
        bad_text{"not a number",
                 "services:\n  - name: a\n    hedge_share: nan",
                 ":3:",
                 "from 0 to 1"},
        bad_text{"objective of one",
                 "services:\n  - name: a\n    objective: {target_share: 1}",
                 "objective.target_share",
                 "to 0.999999"},
        bad_text{"service twice",
                 "services:\n  - name: a\n  - name: a",
                 ":3: services[1].name",
                 "keep one"},
        bad_text{"field twice",
                 "services:\n  - name: a\n    name: b",
                 ":3: services[0].name",
                 "keep one"},
        bad_text{"dependency twice",
                 "services:\n  - name: a\n    depends_on: [b, b]\n  - name: b",
                 "names 'b' twice",
                 "keep one"},
        bad_text{"unknown dependency",
                 "services:\n  - name: a\n    depends_on:\n      - b",
                 ":4: services[0].depends_on names 'b'",
                 "add that service"},
        bad_text{"depends on itself",
                 "services:\n  - {name: a, depends_on: [a]}",
                 "cycle: a -> a",
                 "take one"},
        bad_text{"cycle of three",
                 "services:\n  - {name: z, depends_on: [a]}\n"
                 "  - {name: a, depends_on: [b]}\n"
                 "  - {name: b, depends_on: [c]}\n"
                 "  - {name: c, depends_on: [a]}",
                 ":3: services[1].depends_on is a cycle: a -> b -> c -> a",
                 "take one"},
        bad_text{"route of another service",
                 "services:\n  - name: a\n    routes:\n      - path: /b/",
                 ":4: services[0].routes[0].path",
                 "begin it with /a/"},
        bad_text{"route twice",
                 "services:\n  - name: a\n    routes:\n"
                 "      - path: /a/\n      - path: /a/",
                 ":5: services[0].routes[1] is never reached",
                 "put it before"},
        bad_text{"route behind a wider one",
                 "services:\n  - name: a\n    routes:\n"
                 "      - path: /a/\n      - {method: GET, path: /a/check}",
                 ":5: services[0].routes[1] is never reached, as route 0",
                 "put it before"},
        bad_text{"priority",
                 "services:\n  - name: a\n    routes:\n"
                 "      - {path: /a/, priority: high}",
                 "priority is 'high'",
                 "internal_check"},
        bad_text{"flag",
                 "services:\n  - name: a\n    routes:\n"
                 "      - {path: /a/, repeatable: maybe}",
                 "repeatable is 'maybe'",
                 "true or false"},
        bad_text{"not YAML", "services: [\n", "not YAML", "mend"}));

} // namespace
} // namespace endivehinge::detail
