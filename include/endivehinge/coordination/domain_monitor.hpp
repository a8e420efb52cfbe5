#ifndef ENDIVEHINGE_COORDINATION_DOMAIN_MONITOR_HPP
#define ENDIVEHINGE_COORDINATION_DOMAIN_MONITOR_HPP

#include <cstddef> // size_t
#include <map>     // map
#include <vector>  // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/coordination/member_table.hpp>

namespace endivehinge
{

/// @brief a node's view of one failure domain
struct domain_status
{
    std::vector<member_index> members;
    // no member of the domain responds to this node
    bool unresponsive = false;
    // when a message from any member was last received
    time_point last_received;

    // the current round of probes, if one is in progress
    bool round_in_progress = false;
    time_point round_deadline;
    std::size_t probes_sent = 0;
    std::size_t probes_answered = 0;
    // members to suspect if another member of the domain answers the round
    std::vector<member_index> pending_suspects;

    // next round of probes while unresponsive, and the interval between rounds
    time_point next_round_at;
    duration round_interval{0};
};

/// @brief tracks which failure domains respond to this node
/// @note thread safety: none; for use on one thread
class domain_monitor
{
public:
    // ordered, so that a seeded simulation is reproducible across processes
    using domain_map = std::map<failure_domain, domain_status>;

    /// @brief adds a member to its domain
    void add(failure_domain const & domain, member_index index);

    /// @brief removes a member from its domain
    void remove(failure_domain const & domain, member_index index);

    /// @brief returns the status of a domain, created if missing
    [[nodiscard]] domain_status & status(failure_domain const & domain);

    /// @brief the status of each failure domain that is known, by name
    [[nodiscard]] domain_map & all();

    /// @brief chooses random active members of a domain
    /// @param count maximum number of members
    /// @param excluded member that is not chosen
    [[nodiscard]] static std::vector<member_index>
    sample(domain_status const & domain,
           member_table const & table,
           std::size_t count,
           member_index excluded,
           absl::BitGenRef random);

private:
    domain_map domains;
};

} // namespace endivehinge

#endif
