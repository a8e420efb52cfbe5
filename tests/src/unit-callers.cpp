#include <gtest/gtest.h>

#include <common/answer_report.hpp>
#include <common/call_mix.hpp>
#include <common/caller_group.hpp>
#include <common/ingress_list.hpp>

namespace endivehinge::tools
{
namespace
{

using std::chrono::milliseconds;

std::vector<call_kind> read_and_write_kinds()
{
    call_kind read;
    read.service = service_name("listings");
    call_kind write;
    write.service = service_name("booking");
    write.keyed = true;
    write.largest_body_bytes = 100;
    return {read, write};
}

TEST(call_mix, same_seed_generates_same_calls)
{
    call_mix first(read_and_write_kinds(), "c1", 7);
    call_mix second(read_and_write_kinds(), "c1", 7);
    call_mix other_seed(read_and_write_kinds(), "c1", 8);
    int matches_with_other_seed = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const a = first.next(wall_time());
        auto const b = second.next(wall_time());
        EXPECT_EQ(a.call, b.call);
        EXPECT_EQ(a.key, b.key);
        EXPECT_EQ(a.body, b.body);
        EXPECT_EQ(a.answer_bytes, b.answer_bytes);
        matches_with_other_seed +=
            a.answer_bytes == other_seed.next(wall_time()).answer_bytes ? 1 : 0;
    }
    EXPECT_LT(matches_with_other_seed, 50);
}

TEST(call_mix, key_is_version_7_uuid_with_given_time)
{
    std::mt19937_64 random(1);
    wall_time const timestamp(milliseconds(0x0123456789ab));
    auto const key = make_uuid_v7(timestamp, random);
    ASSERT_EQ(key.size(), 36U);
    EXPECT_EQ(key.substr(0, 15), "01234567-89ab-7");
    EXPECT_NE(std::string("89ab").find(key[19]), std::string::npos);
    EXPECT_NE(make_uuid_v7(timestamp, random), key);
}

TEST(request_marks, read_returns_what_was_written)
{
    request_marks marks;
    marks.call = "c1-1";
    marks.attempt = "c1-1.2";
    marks.chain = {"archive", "filing"};
    marks.payload_bytes = 17;
    auto const read = read_marks("/listings/x" + write_marks(marks));
    EXPECT_EQ(read.call, marks.call);
    EXPECT_EQ(read.attempt, marks.attempt);
    EXPECT_EQ(read.chain, marks.chain);
    EXPECT_EQ(read.payload_bytes, marks.payload_bytes);
    EXPECT_FALSE(read_marks("/listings/x").wants_report());
}

TEST(answer_report, mixed_or_truncated_response_is_not_complete)
{
    request_marks marks;
    marks.call = "c1";
    marks.payload_bytes = 100;
    auto const first = write_answer(marks, "n-1", "t", "a");
    marks.call = "c2";
    auto const second = write_answer(marks, "n-2", "t", "b");
    ASSERT_EQ(first.size(), second.size());
    EXPECT_TRUE(read_answer(first).whole);
    auto const half = first.size() - 50;
    EXPECT_FALSE(
        read_answer(first.substr(0, half) + second.substr(half)).whole);
    EXPECT_FALSE(read_answer("").whole);
    EXPECT_FALSE(read_answer("{}").whole);
}

TEST(ingress_list, choose_avoids_last_node_if_possible)
{
    endpoint const a{"127.0.0.1", 1};
    endpoint const b{"127.0.0.1", 2};
    ingress_list nodes;
    EXPECT_FALSE(nodes.choose(0, std::nullopt).has_value());
    nodes.add(a);
    EXPECT_EQ(nodes.choose(5, a), a);
    nodes.add(b);
    EXPECT_EQ(nodes.choose(0, a), b);
    EXPECT_EQ(nodes.choose(1, b), a);
    nodes.remove(a);
    EXPECT_EQ(nodes.choose(0, std::nullopt), b);
}

TEST(quantile, uses_nearest_rank_method)
{
    std::vector<duration> times;
    for (int i = 1; i <= 1000; ++i)
    {
        times.emplace_back(milliseconds(i));
    }
    EXPECT_EQ(quantile_ms(times, 0.5), 500.0);
    EXPECT_EQ(quantile_ms(times, 0.99), 990.0);
    EXPECT_EQ(quantile_ms(times, 0.999), 999.0);
    EXPECT_EQ(quantile_ms({}, 0.5), 0.0);
    EXPECT_EQ(quantile_ms({milliseconds(3)}, 0.999), 3.0);
}

} // namespace
} // namespace endivehinge::tools
