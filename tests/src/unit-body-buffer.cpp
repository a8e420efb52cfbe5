#include <gtest/gtest.h>

#include <endivehinge/core/stable_hash.hpp>
#include <endivehinge/detail/gateway/body_buffer.hpp>

namespace endivehinge::tests
{
namespace
{

using detail::body_buffer;

// not a multiple of the size of a segment
constexpr std::size_t body_bytes = 3 * body_buffer::segment_bytes + 17;

body_buffer appended(std::size_t step)
{
    body_buffer body;
    std::string const text(step, 'x');
    for (std::size_t sent = 0; sent < body_bytes; sent += step)
    {
        body.append(text.data(), std::min(step, body_bytes - sent));
    }
    return body;
}

TEST(body_buffer, holds_what_was_appended_in_any_steps)
{
    for (std::size_t const step : {std::size_t{1},
                                   std::size_t{4096},
                                   std::size_t{4097},
                                   body_buffer::segment_bytes,
                                   body_bytes})
    {
        auto const body = appended(step);
        EXPECT_EQ(body.size(), body_bytes);
        EXPECT_EQ(body, std::string(body_bytes, 'x')) << step;
    }
}

// A body that grew by doubling took up to three times its size.
TEST(body_buffer, takes_no_more_than_one_segment_beyond_its_size)
{
    auto const body = appended(4096);
    EXPECT_GE(body.capacity(), body_bytes);
    EXPECT_LE(body.capacity(), body_bytes + body_buffer::segment_bytes);
}

TEST(body_buffer, copies_share_their_bytes)
{
    auto const body = appended(4096);
    body_buffer copy;
    copy = body;
    EXPECT_EQ(copy.segment(0).data(), body.segment(0).data());
}

TEST(body_buffer, a_copy_does_not_change_with_the_original)
{
    body_buffer body("abc");
    auto const copy = body;
    body.append("def", 3);
    EXPECT_EQ(copy, "abc");
    EXPECT_EQ(body, "abcdef");
}

// Nodes of different versions identify a request by this value.
TEST(stable_hash, is_the_same_for_a_text_and_its_parts)
{
    std::string const text(body_bytes, 'x');
    auto const view = std::string_view(text);
    EXPECT_EQ(stable_hash({view.substr(0, 7), view.substr(7)}, 5),
              stable_hash(text, 5));
    EXPECT_EQ(stable_hash(std::vector<std::string_view>(), 5),
              stable_hash(std::string(), 5));
}

} // namespace
} // namespace endivehinge::tests
