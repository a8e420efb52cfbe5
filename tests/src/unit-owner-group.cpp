#include <initializer_list> // initializer_list
#include <iostream>         // cout
#include <ostream>          // ostream

#include <gtest/gtest.h>

#include "simulation/owner_group.hpp"

namespace endivehinge::tests
{
namespace
{

struct fault_case
{
    char const * name;
    fault_plan faults;
    unsigned int seeds;
};

std::ostream & operator<<(std::ostream & out, fault_case const & test_case)
{
    return out << test_case.name;
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

fault_case const cases[] = {
    {"no_faults", {}, 5},
    {"lost_messages", make_plan({&plan::lost_messages}), 20},
    {"lost_writes", make_plan({&plan::lost_writes}), 20},
    {"outages", make_plan({&plan::lost_writes, &plan::outages}), 20},
    {"pauses", make_plan({&plan::pauses}), 30},
    {"crashes", make_plan({&plan::crashes}), 30},
    {"departures", make_plan({&plan::departures}), 20},
    {"partitions", make_plan({&plan::partitions}), 20},
    {"partitions_and_departures",
     make_plan({&plan::partitions, &plan::departures}),
     60},
    {"all_faults",
     make_plan({&plan::lost_messages,
                &plan::lost_writes,
                &plan::outages,
                &plan::pauses,
                &plan::crashes,
                &plan::departures,
                &plan::partitions}),
     60},
};

class owner_group_test : public ::testing::TestWithParam<fault_case>
{
};

TEST_P(owner_group_test, no_key_executes_twice)
{
    group_history total;
    for (unsigned int seed = 1; seed <= GetParam().seeds; ++seed)
    {
        owner_group group(seed, GetParam().faults);
        auto const history = group.run(std::chrono::seconds(120));
        for (auto const & [key, executions] : history.executions)
        {
            ASSERT_LE(executions, 1) << "seed " << seed << " key " << key;
        }
        ASSERT_EQ(history.overlapping_leases, 0) << "seed " << seed;
        ASSERT_GT(history.answered, 0) << "seed " << seed;
        total.started += history.started;
        total.answered += history.answered;
        total.indeterminate += history.indeterminate;
        total.rejected += history.rejected;
        total.epochs += history.epochs;
        total.platform_writes += history.platform_writes;
        total.platform_reads += history.platform_reads;
        total.records_handed_over += history.records_handed_over;
    }
    std::cout << "case=" << GetParam().name << " seeds=" << GetParam().seeds
              << " started=" << total.started << " answered=" << total.answered
              << " indeterminate=" << total.indeterminate
              << " rejected=" << total.rejected << " epochs=" << total.epochs
              << " platform_writes=" << total.platform_writes
              << " platform_reads=" << total.platform_reads
              << " handed_over=" << total.records_handed_over << "\n";
}

INSTANTIATE_TEST_SUITE_P(faults,
                         owner_group_test,
                         ::testing::ValuesIn(cases),
                         [](auto const & test_case)
                         {
                             return test_case.param.name;
                         });

} // namespace
} // namespace endivehinge::tests
