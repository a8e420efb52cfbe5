#ifndef ENDIVEHINGE_COORDINATION_DOMAIN_MONITOR_HPP
#define ENDIVEHINGE_COORDINATION_DOMAIN_MONITOR_HPP

#include <cstddef> // size_t
#include <map>     // map
#include <vector>  // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/coordination/member_table.hpp>

namespace endivehinge
{

/// @brief what a node knows of a failure domain as a whole
struct domain_status
{
    std::vector<member_index> members;
    // nobody in it answers this node
    bool silent = false;
    // when any member was last heard
    time_point heard;

    // a round of probes that is on its way
    bool round_open = false;
    time_point round_ends;
    std::size_t asked = 0;
    std::size_t answered = 0;
    // members to be suspected should the domain answer
    std::vector<member_index> doubted;

    // next round of probes while silent, and the time between rounds
    time_point next_round;
    duration round_interval{0};
};

/// @brief the failure domains, and whether anyone in them answers
/// @note thread safety: one thread
class domain_monitor
{
public:
    // ordered, so that a seed gives the same run in every process
    using domain_map = std::map<failure_domain, domain_status>;

    /// @brief puts a member into its domain
    void add(failure_domain const & domain, member_index index);

    /// @brief takes a member out of its domain
    void remove(failure_domain const & domain, member_index index);

    /// @brief the status of a domain; made where there was none
    [[nodiscard]] domain_status & status(failure_domain const & domain);

    /// @brief all domains
    [[nodiscard]] domain_map & all();

    /// @brief random members of a domain that take part
    /// @param count the most of them
    /// @param except left out
    [[nodiscard]] static std::vector<member_index>
    sample(domain_status const & domain,
           member_table const & table,
           std::size_t count,
           member_index except,
           absl::BitGenRef random);

private:
    domain_map domains;
};

} // namespace endivehinge

#endif
