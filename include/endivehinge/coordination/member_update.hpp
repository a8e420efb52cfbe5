#ifndef ENDIVEHINGE_COORDINATION_MEMBER_UPDATE_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_UPDATE_HPP

#include <memory> // shared_ptr

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief what one node says of a member, itself or another
struct member_update
{
    // never changed once shared; its own state field is not used
    std::shared_ptr<member const> record;
    member_state state = member_state::alive;
};

/// @brief whether a state means that the member takes no part any more
[[nodiscard]] inline bool is_removed(member_state state)
{
    return state == member_state::left || state == member_state::dead;
}

/// @brief whether a describes a later moment of the same member than b
[[nodiscard]] inline bool is_later(member const & a, member const & b)
{
    return a.incarnation_number != b.incarnation_number
               ? a.incarnation_number > b.incarnation_number
               : a.sequence > b.sequence;
}

} // namespace endivehinge

#endif
