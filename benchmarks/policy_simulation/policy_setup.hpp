#ifndef ENDIVEHINGE_BENCHMARKS_POLICY_SETUP_HPP
#define ENDIVEHINGE_BENCHMARKS_POLICY_SETUP_HPP

#include <memory> // shared_ptr
#include <string> // string
#include <vector> // vector

#include <endivehinge/policy/admission_options.hpp>
#include <endivehinge/policy/placement_policy.hpp>

namespace endivehinge::simulation
{

/// @brief one way of deciding, from placement to retries
struct policy_setup
{
    std::string name;
    std::shared_ptr<placement_policy const> placement;
    admission_options admission;
    // signals come with answers; otherwise targets report their load now and
    // then
    bool signals_with_answers = true;
    // extra tries for each first try
    double retry_share = 0.1;
    // second tries for slow answers, for each first try
    double hedge_share = 0.05;
    // one of ours with a mechanism switched off
    bool is_ablation = false;

    /// @brief all that are compared
    [[nodiscard]] static std::vector<policy_setup> all();
};

} // namespace endivehinge::simulation

#endif
