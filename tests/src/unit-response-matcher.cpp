#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/response_matcher.hpp>

namespace endivehinge::detail
{
namespace
{

namespace http = boost::beast::http;
using std::chrono::seconds;

time_point const start = time_point(seconds(100));

call_options request(std::string id)
{
    call_options options;
    options.id_field = "Request-Id";
    options.id_value = std::move(id);
    return options;
}

call_options probe()
{
    call_options options;
    options.id_field = "Request-Id";
    return options;
}

response_message response(unsigned status, std::string const & id = "")
{
    response_message message{static_cast<http::status>(status), 11};
    if (!id.empty())
    {
        message.set("Request-Id", id);
    }
    return message;
}

TEST(response_matcher, accepts_only_the_id_of_the_request)
{
    response_matcher matcher;
    for (unsigned const status : {200U, 404U, 503U})
    {
        EXPECT_FALSE(
            matcher.accept(request("2"), response(status, "1"), start));
        EXPECT_TRUE(matcher.accept(request("2"), response(status, "2"), start));
    }
    EXPECT_TRUE(matcher.is_reusable());
}

TEST(response_matcher, informational_response_is_not_the_final_one)
{
    response_matcher matcher;
    EXPECT_FALSE(matcher.accept(request("1"), response(100, "1"), start));
    EXPECT_FALSE(matcher.accept(probe(), response(102), start));
}

// The response to a request was taken for the response to a probe.
TEST(response_matcher, response_with_an_id_is_no_response_to_a_probe)
{
    response_matcher matcher;
    EXPECT_FALSE(matcher.accept(probe(), response(200, "1"), start));
    EXPECT_TRUE(matcher.accept(probe(), response(503), start));
    EXPECT_TRUE(matcher.accept(probe(), response(200), start));
    EXPECT_TRUE(matcher.is_reusable());
}

// A response without an ID was taken for the response to any request.
TEST(response_matcher, success_without_id_belongs_to_no_later_request)
{
    response_matcher matcher;
    EXPECT_TRUE(matcher.accept(request("1"), response(200, "1"), start));
    EXPECT_FALSE(matcher.accept(request("2"), response(200), start));
    EXPECT_TRUE(matcher.accept(request("2"), response(200, "2"), start));
    EXPECT_TRUE(matcher.is_reusable());
}

TEST(response_matcher, refusal_without_id_ends_the_use_of_the_connection)
{
    response_matcher matcher;
    EXPECT_TRUE(matcher.accept(request("1"), response(200, "1"), start));
    EXPECT_TRUE(matcher.accept(request("2"), response(503), start));
    EXPECT_FALSE(matcher.is_reusable());
}

TEST(response_matcher, first_response_without_id_ends_the_use_of_the_connection)
{
    response_matcher matcher;
    EXPECT_TRUE(matcher.accept(request("1"), response(200), start));
    EXPECT_FALSE(matcher.is_reusable());
}

TEST(response_matcher, request_without_id_ends_the_use_of_the_connection)
{
    response_matcher matcher;
    EXPECT_FALSE(matcher.accept(request(""), response(200, "1"), start));
    EXPECT_TRUE(matcher.accept(request(""), response(400), start));
    EXPECT_FALSE(matcher.is_reusable());
}

TEST(response_matcher, remembers_refused_requests_for_their_retries)
{
    response_matcher matcher;
    EXPECT_TRUE(matcher.accept(request("1"), response(503, "1"), start));
    EXPECT_FALSE(matcher.can_identify(request("1"), start + seconds(29)));
    EXPECT_TRUE(matcher.can_identify(request("2"), start + seconds(29)));
    EXPECT_TRUE(matcher.can_identify(probe(), start + seconds(29)));
    EXPECT_TRUE(matcher.can_identify(request("1"), start + seconds(31)));
}

} // namespace
} // namespace endivehinge::detail
