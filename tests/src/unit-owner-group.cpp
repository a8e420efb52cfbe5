#include <iostream> // cout
#include <ostream>  // ostream

#include <gtest/gtest.h>

#include "simulation/owner_group.hpp"

namespace endivehinge::tests
{
namespace
{

struct group_case
{
    char const * name;
    fault_plan faults;
    unsigned int seeds;
};

std::ostream & operator<<(std::ostream & out, group_case const & one)
{
    return out << one.name;
}

group_case const cases[] = {
    {"calm", {}, 5},
    {"lost_messages", {true, false, false, false, false, false}, 20},
    {"lost_writes", {false, true, false, false, false, false}, 20},
    {"outages", {false, true, true, false, false, false}, 20},
    {"pauses", {false, false, false, true, false, false}, 30},
    {"crashes", {false, false, false, false, true, false}, 30},
    {"leaves", {false, false, false, false, false, true}, 20},
    {"all_at_once", {true, true, true, true, true, true}, 60},
};

class owner_history : public ::testing::TestWithParam<group_case>
{
};

TEST_P(owner_history, no_key_runs_twice)
{
    group_history sum;
    for (unsigned int seed = 1; seed <= GetParam().seeds; ++seed)
    {
        owner_group group(seed, GetParam().faults);
        auto const history = group.run(std::chrono::seconds(120));
        for (auto const & [key, runs] : history.runs)
        {
            ASSERT_LE(runs, 1) << "seed " << seed << " key " << key;
        }
        ASSERT_EQ(history.shared_leases, 0) << "seed " << seed;
        ASSERT_GT(history.answered, 0) << "seed " << seed;
        sum.started += history.started;
        sum.answered += history.answered;
        sum.indeterminate += history.indeterminate;
        sum.rejected += history.rejected;
        sum.epochs += history.epochs;
        sum.platform_writes += history.platform_writes;
        sum.platform_reads += history.platform_reads;
        sum.handed_over += history.handed_over;
    }
    std::cout << "case=" << GetParam().name << " seeds=" << GetParam().seeds
              << " started=" << sum.started << " answered=" << sum.answered
              << " indeterminate=" << sum.indeterminate
              << " rejected=" << sum.rejected << " epochs=" << sum.epochs
              << " platform_writes=" << sum.platform_writes
              << " platform_reads=" << sum.platform_reads
              << " handed_over=" << sum.handed_over << "\n";
}

INSTANTIATE_TEST_SUITE_P(faults,
                         owner_history,
                         ::testing::ValuesIn(cases),
                         [](auto const & one)
                         {
                             return one.param.name;
                         });

} // namespace
} // namespace endivehinge::tests
