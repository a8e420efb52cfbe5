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

// specified time within which all nodes agree again after a fault ends
constexpr duration max_recovery_time = minutes(2);
// half of the 10 KB/s that a node may send and receive in total
constexpr std::uint64_t max_sent_bytes_per_second = 5000;

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

class membership_fault_test : public ::testing::TestWithParam<membership_case>
{
protected:
    void SetUp() override
    {
        this->network.start_all();
        ASSERT_TRUE(this->agrees_within(max_recovery_time));
    }

    void TearDown() override
    {
        EXPECT_LE(this->network.counters().largest_datagram_bytes,
                  max_datagram_bytes);
        EXPECT_EQ(this->network.counters().undecodable, 0U);
    }

    bool agrees_within(duration limit)
    {
        return this->network.run_until(
            [this]()
            {
                return this->network.agreed();
            },
            limit);
    }

    // number of running nodes in whose view the subject has the state
    std::size_t count_observers(std::size_t subject, member_state state)
    {
        std::size_t observers = 0;
        for (std::size_t i = 0; i < this->network.size(); ++i)
        {
            bool const observes = i != subject && this->network.is_running(i) &&
                                  this->network.at(i).state_of(
                                      this->network.name_of(subject)) == state;
            observers += observes ? 1 : 0;
        }
        return observers;
    }

    gossip_network network{make_options(GetParam().members, GetParam().seed)};
};

INSTANTIATE_TEST_SUITE_P(sizes,
                         membership_fault_test,
                         ::testing::Values(membership_case{20, 1},
                                           membership_case{20, 2},
                                           membership_case{60, 3},
                                           membership_case{150, 4}));

// smaller networks, because simulating an hour takes long even with a virtual
// clock
class long_partition_test : public membership_fault_test
{
};

INSTANTIATE_TEST_SUITE_P(sizes,
                         long_partition_test,
                         ::testing::Values(membership_case{20, 1},
                                           membership_case{20, 2},
                                           membership_case{40, 3}));

TEST_P(membership_fault_test, a_crashed_node_is_declared_dead_and_may_rejoin)
{
    this->network.crash(7);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
    EXPECT_EQ(this->count_observers(7, member_state::dead),
              GetParam().members - 1);
    this->network.start(7);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test, a_node_that_leaves_is_not_suspected)
{
    this->network.leave(5);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
    EXPECT_EQ(this->count_observers(5, member_state::left),
              GetParam().members - 1);
    this->network.start(5);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test,
       a_paused_node_rejoins_without_declaring_others_dead)
{
    this->network.pause(3);
    this->network.run_for(minutes(1));
    this->network.resume(3);
    this->network.run_for(seconds(1));
    // the resumed node considers no other node dead
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        EXPECT_NE(this->network.at(3).state_of(this->network.name_of(i)),
                  member_state::dead);
    }
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test,
       a_partitioned_domain_becomes_unreachable_and_rejoins)
{
    auto const in_cut_domain = [this](std::size_t node)
    {
        return this->network.domain_of(node) == 1;
    };
    this->network.cut(
        [&in_cut_domain](std::size_t from, std::size_t to)
        {
            return in_cut_domain(from) != in_cut_domain(to);
        });
    this->network.run_for(minutes(10));
    std::size_t const outside_count =
        this->network.size() - (this->network.size() + 2) / 4;
    for (std::size_t i = 1; i < this->network.size(); i += 4)
    {
        EXPECT_EQ(this->count_observers(i, member_state::unreachable),
                  outside_count);
        EXPECT_EQ(this->count_observers(i, member_state::dead), 0U);
    }
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(long_partition_test, regions_reunite_after_an_hour_of_partition)
{
    this->network.cut(
        [this](std::size_t from, std::size_t to)
        {
            return this->network.region_of(from) != this->network.region_of(to);
        });
    this->network.run_for(minutes(20));
    // during the partition one node of each region is replaced by a new
    // incarnation and one node crashes
    this->network.start(8);
    this->network.start(9);
    this->network.crash(12);
    this->network.run_for(minutes(40));
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test, a_one_way_link_failure_causes_no_death)
{
    this->network.cut(
        [](std::size_t from, std::size_t to)
        {
            return from == 2 && to % 3 == 0;
        });
    this->network.run_for(minutes(5));
    EXPECT_EQ(this->count_observers(2, member_state::dead), 0U);
    this->network.cut(nullptr);
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test, all_nodes_rejoin_after_a_mass_restart)
{
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        this->network.crash(i);
    }
    this->network.start_all();
    EXPECT_TRUE(this->agrees_within(max_recovery_time));
}

TEST_P(membership_fault_test,
       traffic_without_faults_stays_within_the_byte_limit)
{
    this->network.reset_counters();
    constexpr seconds measurement_duration(60);
    this->network.run_for(measurement_duration);
    for (std::size_t i = 0; i < this->network.size(); ++i)
    {
        EXPECT_LT(this->network.counters(i).bytes,
                  max_sent_bytes_per_second * measurement_duration.count());
    }
}

TEST_P(membership_fault_test, a_configuration_version_spreads_within_14_seconds)
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

// ten consecutive random faults, determined by the seed
TEST_P(long_partition_test, nodes_agree_after_random_faults)
{
    std::mt19937_64 random(GetParam().seed);
    std::size_t const members = GetParam().members;
    auto const run_random_time = [this, &random](int limit_s)
    {
        this->network.run_for(seconds(random() % limit_s));
    };
    for (int round = 0; round < 10; ++round)
    {
        std::size_t const node = random() % members;
        std::size_t const next_node = (node + 1) % members;
        std::size_t const domain = random() % 4;
        switch (random() % 5)
        {
        case 0:
            this->network.crash(node);
            run_random_time(40);
            this->network.start(node);
            break;
        case 1:
            this->network.pause(node);
            this->network.pause(next_node);
            run_random_time(90);
            this->network.resume(node);
            this->network.resume(next_node);
            break;
        case 2:
            this->network.cut(
                [this, domain](std::size_t from, std::size_t to)
                {
                    return (this->network.domain_of(from) == domain) !=
                           (this->network.domain_of(to) == domain);
                });
            run_random_time(600);
            this->network.start(node);
            run_random_time(60);
            break;
        case 3:
            this->network.cut(
                [node, domain](std::size_t from, std::size_t to)
                {
                    return from == node && to % 4 != domain;
                });
            run_random_time(200);
            break;
        default:
            this->network.cut(
                [this](std::size_t from, std::size_t to)
                {
                    return this->network.region_of(from) == 0 &&
                           this->network.region_of(to) == 1;
                });
            run_random_time(600);
            break;
        }
        this->network.cut(nullptr);
        ASSERT_TRUE(this->agrees_within(max_recovery_time))
            << "round " << round;
    }
}

} // namespace
} // namespace endivehinge
