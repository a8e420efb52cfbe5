#ifndef ENDIVEHINGE_COORDINATION_OWNER_IDENTITY_HPP
#define ENDIVEHINGE_COORDINATION_OWNER_IDENTITY_HPP

#include <utility> // move

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief one run of a node, as an owner of keys
struct owner_identity
{
    node_name name;
    incarnation incarnation_number;

    friend bool operator==(owner_identity const & a, owner_identity const & b)
    {
        return a.incarnation_number == b.incarnation_number && a.name == b.name;
    }

    friend bool operator!=(owner_identity const & a, owner_identity const & b)
    {
        return !(a == b);
    }

    friend bool operator<(owner_identity const & a, owner_identity const & b)
    {
        return a.name == b.name ? a.incarnation_number < b.incarnation_number
                                : a.name < b.name;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, owner_identity const & o) // NOLINT
    {
        return Hash::combine(std::move(state), o.name, o.incarnation_number);
    }
};

} // namespace endivehinge

#endif
