#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/response_registry.hpp>

namespace endivehinge::detail
{
namespace
{

TEST(response_memory, gives_up_the_largest_response_first)
{
    response_memory memory(1000);
    auto const small = memory.next_id();
    auto const large = memory.next_id();
    EXPECT_FALSE(memory.resize(small, 100).has_value());
    EXPECT_FALSE(memory.resize(large, 900).has_value());
    EXPECT_EQ(memory.resize(small, 200), large);
    memory.release(large);
    EXPECT_EQ(memory.total(), 200U);
    EXPECT_EQ(memory.resize(small, 1001), small);
}

TEST(response_memory, release_of_an_unknown_response_changes_nothing)
{
    response_memory memory(1000);
    memory.release(memory.next_id());
    EXPECT_EQ(memory.total(), 0U);
}

TEST(response_registry, calls_the_action_of_the_response_that_is_given_up)
{
    response_registry registry(1000);
    std::size_t given_up = 0;
    std::optional<response_id> endless;
    endless = registry.add(
        [&registry, &given_up, &endless]
        {
            given_up += 1;
            registry.remove(*endless);
        });
    auto const ordinary = registry.add(
        []
        {
            ADD_FAILURE();
        });
    registry.resize(*endless, 950);
    registry.resize(ordinary, 100);
    EXPECT_EQ(given_up, 1U);
    EXPECT_EQ(registry.total(), 100U);
    registry.remove(ordinary);
    EXPECT_EQ(registry.total(), 0U);
}

} // namespace
} // namespace endivehinge::detail
