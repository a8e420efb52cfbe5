#include <gtest/gtest.h>

#include <endivehinge/coordination/text_history.hpp>
#include <endivehinge/core/packed_text.hpp>

namespace endivehinge
{
namespace
{

constexpr std::size_t max_bytes = 100'000;

TEST(packed_text, is_restored_with_and_without_a_base)
{
    std::string const text(50'000, 'x');
    for (std::string const base : {"", "y", "xxxx"})
    {
        auto const packed = pack_text(text, base);
        EXPECT_LT(packed.size(), 200U);
        EXPECT_EQ(unpack_text(packed, base, max_bytes), text);
    }
    EXPECT_EQ(unpack_text(pack_text("", ""), "", max_bytes), "");
}

TEST(packed_text, another_base_is_detected)
{
    std::string base;
    for (int i = 0; i < 5000; ++i)
    {
        base += std::to_string(i * 7919);
    }
    auto const packed = pack_text(base + "!", base);
    EXPECT_EQ(unpack_text(packed, base, max_bytes), base + "!");
    auto other = base;
    other[9000] = other[9000] == '1' ? '2' : '1';
    EXPECT_FALSE(unpack_text(packed, other, max_bytes).has_value());
    EXPECT_FALSE(unpack_text(packed, "", max_bytes).has_value());
}

TEST(packed_text, malformed_and_too_long_texts_are_rejected)
{
    auto const packed = pack_text(std::string(1000, 'x'), "");
    EXPECT_FALSE(unpack_text(packed, "", 999).has_value());
    EXPECT_FALSE(unpack_text("", "", max_bytes).has_value());
    EXPECT_FALSE(unpack_text("no packed text", "", max_bytes).has_value());
    for (std::size_t length = 0; length < packed.size(); ++length)
    {
        EXPECT_FALSE(
            unpack_text(packed.substr(0, length), "", max_bytes).has_value());
    }
}

TEST(text_history, keeps_the_last_texts_only)
{
    text_history texts;
    EXPECT_EQ(texts.newest(), nullptr);
    EXPECT_EQ(texts.newest_digest(), 0U);
    texts.record("0");
    auto const first = texts.newest_digest();
    EXPECT_TRUE(texts.holds(first));
    for (int i = 1; i < 10; ++i)
    {
        texts.record(std::to_string(i));
    }
    EXPECT_FALSE(texts.holds(first));
    EXPECT_EQ(*texts.newest(), "9");
    EXPECT_EQ(texts.newest_digest(), text_history::digest_of("9"));
}

TEST(text_history, packs_the_newest_text_for_each_base)
{
    text_history texts;
    texts.record("one");
    auto const base = texts.newest_digest();
    texts.record("two");
    EXPECT_EQ(unpack_text(texts.packed(base), "one", max_bytes), "two");
    EXPECT_EQ(unpack_text(texts.packed(0), "", max_bytes), "two");
    texts.record("three");
    EXPECT_EQ(unpack_text(texts.packed(base), "one", max_bytes), "three");
    EXPECT_EQ(unpack_text(texts.packed(12345), "", max_bytes), "three")
        << "an unknown base counts as none";
}

} // namespace
} // namespace endivehinge
