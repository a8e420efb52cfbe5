#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <endivehinge/core/external_text.hpp>
#include <endivehinge/core/json_text.hpp>

namespace endivehinge
{
namespace
{

TEST(external_text, identifier_is_short_readable_text)
{
    for (std::string const text :
         {"i-7f3a91c2", "a b", "caf\xC3\xA9", "\xF0\x9F\x98\x80"})
    {
        EXPECT_TRUE(is_valid_identifier(text)) << text;
    }
    EXPECT_TRUE(is_valid_identifier(std::string(1024, 'x')));
    EXPECT_FALSE(is_valid_identifier(std::string(1025, 'x')));
    for (std::string const text : {"",
                                   " a",
                                   "a ",
                                   "a\r\nb",
                                   "a\tb",
                                   "\x7F",
                                   "\xFF\xFE",
                                   "a\xC3",
                                   "\xC0\x80",
                                   "\xED\xA0\x80"})
    {
        EXPECT_FALSE(is_valid_identifier(text)) << text;
    }
    EXPECT_FALSE(is_valid_identifier(std::string("a\0b", 3)));
}

TEST(external_text, printable_text_keeps_what_is_readable)
{
    EXPECT_EQ(to_printable("caf\xC3\xA9 a\nb"), "caf\xC3\xA9 a b");
    EXPECT_EQ(to_printable("a\xFF\xC3"), "a\xEF\xBF\xBD\xEF\xBF\xBD");
}

// A text from outside that is not UTF-8 made the library throw.
TEST(external_text, json_of_unreadable_bytes_is_written)
{
    EXPECT_EQ(to_json_text({{"id", "\xFF"}}), "{\"id\":\"\xEF\xBF\xBD\"}");
}

} // namespace
} // namespace endivehinge
