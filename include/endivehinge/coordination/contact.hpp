#ifndef ENDIVEHINGE_COORDINATION_CONTACT_HPP
#define ENDIVEHINGE_COORDINATION_CONTACT_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{

/// @brief a node through which others join, as listed on the platform
struct contact
{
    node_name name;
    incarnation incarnation_number;
    endpoint control_address;
};

/// @brief maximum number of contacts per failure domain
inline constexpr std::size_t max_contacts_per_domain = 3;

/// @brief computes the new contact list of this node's failure domain
/// @param listed current list on the platform
/// @param members this node's view of the membership
/// @param drop_unknown whether to remove contacts that are not in `members`
/// @return the list to write, or nothing if this node need not write
/// @note pure. A node writes only to add itself or to update its own entry, so
///       that the write rate depends on how often contacts fail and not on
///       the number of nodes.
[[nodiscard]] std::optional<std::vector<contact>>
plan_contacts(std::vector<contact> const & listed,
              membership const & members,
              bool drop_unknown);

} // namespace endivehinge

#endif
