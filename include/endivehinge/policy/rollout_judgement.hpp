#ifndef ENDIVEHINGE_POLICY_ROLLOUT_JUDGEMENT_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_JUDGEMENT_HPP

#include <cstdint> // uint64_t
#include <string>  // string

namespace endivehinge
{

/// @brief what the evidence says about a version
enum class rollout_verdict
{
    undecided, // too few requests
    good,      // enough recent requests, not worse than the old version
    bad,       // worse beyond the stated error
};

/// @brief the verdict on a version with its evidence
struct rollout_judgement
{
    rollout_verdict verdict = rollout_verdict::undecided;
    // names route, figures and error
    std::string reason;
    // responses of warm new targets in the recent window, and all
    std::uint64_t recent_responses = 0;
    std::uint64_t responses = 0;
    // of the finding that made it bad: the probability that a version as good
    // as the old one looks as bad
    double bad_probability = 1;
    // whether each route with a notable part of the old traffic was tried
    bool all_routes_tried = false;
    // smallest probability, over routes and windows, that a version as good as
    // the old one looks at least as bad; 1 if nothing is suspicious
    double least_probability = 1;
};

} // namespace endivehinge

#endif
