#include <gtest/gtest.h>

#include <platform/raw_json.hpp>

namespace endivehinge::platform
{
namespace
{

TEST(raw_json, splits_an_object_into_names_and_texts)
{
    auto const members = split_object(
        R"( {"a": {"x":[1,2]} ,"b\"":"}","c":-1.5,"d":null, "e":[]} )");
    ASSERT_TRUE(members.has_value());
    ASSERT_EQ(members->size(), 5U);
    EXPECT_EQ((*members)[0].name, "a");
    EXPECT_EQ((*members)[0].value, R"({"x":[1,2]})");
    EXPECT_EQ((*members)[1].name, "b\"");
    EXPECT_EQ((*members)[1].value, R"("}")");
    EXPECT_EQ((*members)[2].value, "-1.5");
    EXPECT_EQ((*members)[3].value, "null");
    EXPECT_EQ((*members)[4].value, "[]");
    EXPECT_TRUE(split_object("{}")->empty());
}

TEST(raw_json, splits_an_array_into_texts)
{
    auto const elements = split_array(R"([{"a":1}, "x" ,[2,3]])");
    ASSERT_TRUE(elements.has_value());
    EXPECT_EQ(*elements,
              (std::vector<std::string_view>{R"({"a":1})", R"("x")", "[2,3]"}));
    EXPECT_TRUE(split_array("[]")->empty());
}

TEST(raw_json, other_texts_are_not_split)
{
    for (std::string const text : {"",
                                   "null",
                                   "1",
                                   R"({"a":1)",
                                   R"({"a":1}})",
                                   R"({"a":1} {"b":2})",
                                   R"({"a" 1})",
                                   "{\"a\":\"\xFF\"}",
                                   R"([1,2)",
                                   "[1] 2"})
    {
        EXPECT_FALSE(split_object(text).has_value()) << text;
        EXPECT_FALSE(split_array(text).has_value()) << text;
    }
    EXPECT_FALSE(split_object("[]").has_value());
    EXPECT_FALSE(split_array("{}").has_value());
}

} // namespace
} // namespace endivehinge::platform
