#include <random> // mt19937_64
#include <string> // string
#include <vector> // vector

#include <gtest/gtest.h>

#include <common/gossip_network.hpp>
#include <endivehinge/coordination/datagram_packer.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;
using tools::gossip_network;
using tools::gossip_network_options;

// the stated time in which all agree again after a fault has ended
constexpr duration recovery_time = minutes(2);
// a node may spend 10 KB a second, sent and received together
constexpr std::uint64_t sent_bytes_per_second = 5000;

gossip_network_options make_options(std::size_t members, std::uint64_t seed)
{
    gossip_network_options options;
    options.members = members;
    options.seed = seed;
    options.loss = 0.02;
    options.duplication = 0.02;
    return options;
}

struct membership_case
{
    std::size_t members = 0;
    std::uint64_t seed = 0;
};

class membership_schedule : public ::testing::TestWithParam<membership_case>
{
protected:
    void SetUp() override
    {
        this->network.start_all();
        ASSERT_TRUE(this->agree_within(recovery_time));
    }

    void TearDown() override
    {
        EXPECT_LE(this->network.counters().largest_datagram_bytes,
                  max_datagram_bytes);
        EXPECT_EQ(this->network.counters().undecodable, 0U);
    }

    bool agree_within(duration limit)
    {
        return this->network.run_until(
            [this]()
            {
                return this->network.agreed();
            },
            limit);
    }

    // how many running nodes see another in a state
    std::size_t count(std::size_t other, member_state state)
    {
        std::size_t found = 0;
        for (std::size_t i = 0; i < this->network.size(); ++i)
        {
            bool const sees = i != other && this->network.is_running(i) &&
                              this->network.at(i).state_of(
                                  this->network.name_of(other)) == state;
            found += sees ? 1 : 0;
        }
        return found;
    }

    gossip_network network{make_options(GetParam().members, GetParam().seed)};
};

INSTANTIATE_TEST_SUITE_P(sizes,
                         membership_schedule,
                         ::testing::Values(membership_case{20, 1},
                                           membership_case{20, 2},
                                           membership_case{60, 3},
                                           membership_case{150, 4}));

// an hour is long under a virtual clock, too
class membership_long_cut : public membership_schedule
{
};

INSTANTIATE_TEST_SUITE_P(sizes,
                         membership_long_cut,
                         ::testing::Values(membership_case{20, 1},
                                           membership_case{20, 2},
                                           membership_case{40, 3}));

TEST_P(membership_schedule, a_crashed_node_is_declared_dead_and_may_return)
{
    this->network.crash(7);
    EXPECT_TRUE(this->agree_within(recovery_time));
    EXPECT_EQ(this->count(7, member_state::dead), GetParam().members - 1);
    this->network.start(7);
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, a_node_that_leaves_is_not_suspected)
{
    this->network.leave(5);
    EXPECT_TRUE(this->agree_within(recovery_time));
    EXPECT_EQ(this->count(5, member_state::left), GetParam().members - 1);
    this->network.start(5);
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, no_false_death_of_a_paused_node_lasts)
{
    this->network.pause(3);
    this->network.run_for(minutes(1));
    this->network.resume(3);
    this->network.run_for(seconds(1));
    // the paused node holds no other for dead
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        EXPECT_NE(this->network.at(3).state_of(this->network.name_of(i)),
                  member_state::dead);
    }
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, a_domain_cut_off_is_kept_and_taken_back)
{
    auto const inside = [this](std::size_t node)
    {
        return this->network.domain_of(node) == 1;
    };
    this->network.cut(
        [&inside](std::size_t from, std::size_t to)
        {
            return inside(from) != inside(to);
        });
    this->network.run_for(minutes(10));
    std::size_t const outside =
        this->network.size() - (this->network.size() + 2) / 4;
    for (std::size_t i = 1; i < this->network.size(); i += 4)
    {
        EXPECT_EQ(this->count(i, member_state::unreachable), outside);
        EXPECT_EQ(this->count(i, member_state::dead), 0U);
    }
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_long_cut, regions_apart_for_an_hour_find_each_other_again)
{
    this->network.cut(
        [this](std::size_t from, std::size_t to)
        {
            return this->network.region_of(from) != this->network.region_of(to);
        });
    this->network.run_for(minutes(20));
    // meanwhile one node of each region is replaced and one ends
    this->network.start(8);
    this->network.start(9);
    this->network.crash(12);
    this->network.run_for(minutes(40));
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, a_link_cut_in_one_direction_kills_nobody)
{
    this->network.cut(
        [](std::size_t from, std::size_t to)
        {
            return from == 2 && to % 3 == 0;
        });
    this->network.run_for(minutes(5));
    EXPECT_EQ(this->count(2, member_state::dead), 0U);
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, all_find_each_other_after_a_mass_restart)
{
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        this->network.crash(i);
    }
    this->network.start_all();
    EXPECT_TRUE(this->agree_within(recovery_time));
}

TEST_P(membership_schedule, a_calm_network_stays_within_the_byte_bound)
{
    this->network.reset_counters();
    constexpr seconds span(60);
    this->network.run_for(span);
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        EXPECT_LT(this->network.counters(i).bytes,
                  sent_bytes_per_second * span.count());
    }
}

TEST_P(membership_schedule, a_configuration_version_is_known_within_seconds)
{
    this->network.set_configuration_version(0, object_version(7));
    EXPECT_TRUE(this->network.run_until(
        [this]()
        {
            for (std::size_t i = 0; i < this->network.size(); ++i)
            {
                if (this->network.version_at(i) != object_version(7))
                {
                    return false;
                }
            }
            return true;
        },
        seconds(14)));
}

// ten faults drawn by the seed, one after another
TEST_P(membership_long_cut, random_schedules_of_faults_end_in_agreement)
{
    std::mt19937_64 random(GetParam().seed);
    std::size_t const members = GetParam().members;
    auto const pass = [this, &random](int most_seconds)
    {
        this->network.run_for(seconds(random() % most_seconds));
    };
    for (int round = 0; round < 10; ++round)
    {
        std::size_t const one = random() % members;
        std::size_t const other = (one + 1) % members;
        std::size_t const domain = random() % 4;
        switch (random() % 5)
        {
        case 0:
            this->network.crash(one);
            pass(40);
            this->network.start(one);
            break;
        case 1:
            this->network.pause(one);
            this->network.pause(other);
            pass(90);
            this->network.resume(one);
            this->network.resume(other);
            break;
        case 2:
            this->network.cut(
                [this, domain](std::size_t from, std::size_t to)
                {
                    return (this->network.domain_of(from) == domain) !=
                           (this->network.domain_of(to) == domain);
                });
            pass(600);
            this->network.start(one);
            pass(60);
            break;
        case 3:
            this->network.cut(
                [one, domain](std::size_t from, std::size_t to)
                {
                    return from == one && to % 4 != domain;
                });
            pass(200);
            break;
        default:
            this->network.cut(
                [this](std::size_t from, std::size_t to)
                {
                    return this->network.region_of(from) == 0 &&
                           this->network.region_of(to) == 1;
                });
            pass(600);
            break;
        }
        this->network.cut(nullptr);
        ASSERT_TRUE(this->agree_within(recovery_time)) << "round " << round;
    }
}

} // namespace
} // namespace endivehinge
