#ifndef ENDIVEHINGE_BENCHMARKS_DEPLOYMENT_HPP
#define ENDIVEHINGE_BENCHMARKS_DEPLOYMENT_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge::simulation
{

/// @brief one instance: a node and the target beside it
struct instance_place
{
    std::size_t service = 0;
    std::size_t domain = 0;
};

/// @brief the sizes and delays of a user's deployment
struct deployment
{
    std::string name;
    std::uint32_t slots = 0;
    duration across_domains{0}; // one way
    duration within_domain = std::chrono::microseconds(100);
    duration from_client = std::chrono::milliseconds(1);
    std::vector<instance_place> instances;

    /// @brief four services on 13 instances, spread over three domains
    [[nodiscard]] static deployment
    make(std::string name, std::uint32_t slots, duration across_domains)
    {
        constexpr std::size_t domains = 3;
        deployment made;
        made.name = std::move(name);
        made.slots = slots;
        made.across_domains = across_domains;
        for (std::size_t const workers : {4, 3, 3, 3})
        {
            std::size_t const service =
                made.instances.empty() ? 0 : made.instances.back().service + 1;
            for (std::size_t worker = 0; worker < workers; ++worker)
            {
                made.instances.push_back({service, worker % domains});
            }
        }
        return made;
    }

    /// @brief one way between the nodes of two instances
    [[nodiscard]] duration travel(std::size_t from, std::size_t to) const
    {
        if (from == to)
        {
            return duration(0);
        }
        return this->instances[from].domain == this->instances[to].domain
                   ? this->within_domain
                   : this->across_domains;
    }
};

} // namespace endivehinge::simulation

#endif
