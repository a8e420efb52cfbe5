#ifndef ENDIVEHINGE_POLICY_COLD_RATE_BOUND_HPP
#define ENDIVEHINGE_POLICY_COLD_RATE_BOUND_HPP

namespace endivehinge
{

/// @brief largest number of requests that a cold target may receive in any
/// second: its stated rate times the factor, plus the slack
struct cold_rate_bound
{
    // used until the operators' bounds are read; below those of all deployments
    double factor = 1.25;
    // requests
    double slack = 5;
};

} // namespace endivehinge

#endif
