#ifndef ENDIVEHINGE_COORDINATION_CONTACT_HPP
#define ENDIVEHINGE_COORDINATION_CONTACT_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{

/// @brief a node that others may join through, as the platform lists it
struct contact
{
    node_name name;
    incarnation incarnation_number;
    endpoint control_address;
};

/// @brief the most contacts of a failure domain
inline constexpr std::size_t max_contacts_per_domain = 3;

/// @brief what the list of this node's failure domain should become
/// @param listed the list as read
/// @param known what this node knows of the others
/// @param doubt_unknown whether a contact that this node does not know is
///        taken for gone
/// @return the new list where this node has to write; nothing else
/// @note pure: a node only ever writes to put itself in, so that the rate of
///       writes follows the deaths of contacts and not the number of nodes
[[nodiscard]] std::optional<std::vector<contact>>
plan_contacts(std::vector<contact> const & listed,
              membership const & known,
              bool doubt_unknown);

} // namespace endivehinge

#endif
