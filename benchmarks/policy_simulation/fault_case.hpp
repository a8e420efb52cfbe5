#ifndef ENDIVEHINGE_BENCHMARKS_FAULT_CASE_HPP
#define ENDIVEHINGE_BENCHMARKS_FAULT_CASE_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>

#include "deployment.hpp"

namespace endivehinge::simulation
{

/// @brief a span in which a noisy neighbour takes part of a target
struct noise_burst
{
    time_point begin;
    time_point end;
};

/// @brief what goes wrong during a run
struct fault_case
{
    std::string name;
    // from a quarter to three quarters of the run
    time_point begin;
    time_point end;
    bool noisy = false;
    bool straggler = false;
    bool drain = false;
    bool cold = false;
    bool domain_out = false;
    // the straggler's node tells of an idle target at its usual speed
    bool signals_lie = false;
    // one target of each service bears less than its slots
    bool slots_lie = false;
    // some callers have little time left
    bool short_limits = false;

    /// @brief the case of that name, for a run of a length
    [[nodiscard]] static fault_case make(std::string name, duration length);

    /// @brief share of a target that is left while the fault lasts
    [[nodiscard]] double capacity_left(deployment const & where,
                                       std::size_t instance) const;

    /// @brief whether operators have taken the instance's domain out
    [[nodiscard]] bool is_out(deployment const & where,
                              std::size_t instance,
                              time_point now) const;

    /// @brief whether the instance has fewer processors than its slots say
    [[nodiscard]] bool is_weak(std::size_t instance) const;

    /// @brief the same bursts for the same arguments
    [[nodiscard]] std::vector<noise_burst>
    bursts(std::size_t instance, duration length, std::uint64_t seed) const;

    /// @brief the instance that drags, drains or turns cold
    static constexpr std::size_t struck_instance = 1;
    /// @brief another service's, which turns cold without a notice
    static constexpr std::size_t struck_silently = 5;
    static constexpr std::size_t struck_domain = 2;
    static constexpr double straggler_speed = 0.1;
    static constexpr double noise_left = 0.4;
    static constexpr double weak_processors = 0.4;
};

} // namespace endivehinge::simulation

#endif
