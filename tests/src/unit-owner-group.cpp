#include <initializer_list> // initializer_list
#include <iostream>         // cout
#include <ostream>          // ostream

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

fault_plan make_plan(std::initializer_list<bool fault_plan::*> faults)
{
    fault_plan plan;
    for (auto const fault : faults)
    {
        plan.*fault = true;
    }
    return plan;
}

using plan = fault_plan;

group_case const cases[] = {
    {"calm", {}, 5},
    {"lost_messages", make_plan({&plan::lost_messages}), 20},
    {"lost_writes", make_plan({&plan::lost_writes}), 20},
    {"outages", make_plan({&plan::lost_writes, &plan::outages}), 20},
    {"pauses", make_plan({&plan::pauses}), 30},
    {"crashes", make_plan({&plan::crashes}), 30},
    {"leaves", make_plan({&plan::leaves}), 20},
    {"cuts", make_plan({&plan::cuts}), 20},
    {"cuts_and_leaves", make_plan({&plan::cuts, &plan::leaves}), 60},
    {"all_at_once",
     make_plan({&plan::lost_messages,
                &plan::lost_writes,
                &plan::outages,
                &plan::pauses,
                &plan::crashes,
                &plan::leaves,
                &plan::cuts}),
     60},
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
