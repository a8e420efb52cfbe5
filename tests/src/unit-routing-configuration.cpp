#include <gtest/gtest.h>

#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/traffic_splitter.hpp>

namespace endivehinge
{
namespace
{

service_route route(char const * name, char const * host, char const * prefix)
{
    service_route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.parts = {{service_name("s"), 1}};
    return made;
}

TEST(routing_configuration, finds_the_longest_prefix_of_the_host)
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

    for (auto const & one : std::vector<row>{
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
        auto const * const found = configuration.find_route(one.host, one.path);
        EXPECT_EQ(found == nullptr ? "" : found->name, one.expected)
            << one.host << one.path;
    }
}

TEST(traffic_splitter, gives_each_part_its_share_exactly)
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

TEST(traffic_splitter, takes_new_weights_at_once)
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
