#include <gtest/gtest.h>

#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/traffic_splitter.hpp>

namespace endivehinge
{
namespace
{

service_route route(char const * name, char const * host, char const * prefix)
{
    service_route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.parts = {{service_name("s"), 1}};
    return result;
}

TEST(routing_configuration, finds_longest_matching_prefix_of_host)
{
    routing_configuration configuration;
    configuration.routes = {route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/y/z/")};

    struct row
    {
        char const * host;
        char const * path;
        char const * expected;
    };

    for (auto const & test_case : std::vector<row>{
             {"a.example", "/x/1", "short"},
             {"a.example", "/x/y/1", "long"},
             {"A.Example", "/x/y/z/1", "long"},
             {"b.example", "/x/y/z/1", "other"},
             {"a.example", "/x/1?q=/x/y/", "short"},
             {"a.example", "/x", ""},
             {"a.example", "/z?/x/", ""},
             {"c.example", "/x/1", ""},
         })
    {
        auto const * const found =
            configuration.find_route(test_case.host, test_case.path);
        EXPECT_EQ(found == nullptr ? "" : found->name, test_case.expected)
            << test_case.host << test_case.path;
    }
}

TEST(traffic_splitter, services_get_requests_in_proportion_to_weights)
{
    auto split = route("split", "a.example", "/x/");
    split.parts = {{service_name("a"), 90},
                   {service_name("b"), 10},
                   {service_name("c"), 0}};
    traffic_splitter chooser;
    int a = 0;
    int b = 0;
    for (int i = 0; i < 300; ++i)
    {
        auto const service = chooser.choose(split, 0.7);
        a += service == service_name("a") ? 1 : 0;
        b += service == service_name("b") ? 1 : 0;
    }
    EXPECT_NEAR(a, 270, 2);
    EXPECT_NEAR(b, 30, 2);
}

TEST(traffic_splitter, changed_weights_apply_immediately)
{
    auto split = route("split", "a.example", "/x/");
    split.parts = {{service_name("a"), 1}, {service_name("b"), 1}};
    traffic_splitter chooser;
    static_cast<void>(chooser.choose(split, 0));
    split.parts = {{service_name("a"), 1}, {service_name("c"), 3}};
    int c = 0;
    for (int i = 0; i < 40; ++i)
    {
        c += chooser.choose(split, 0) == service_name("c") ? 1 : 0;
    }
    EXPECT_EQ(c, 30);
}

} // namespace
} // namespace endivehinge
