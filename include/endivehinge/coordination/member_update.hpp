#ifndef ENDIVEHINGE_COORDINATION_MEMBER_UPDATE_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_UPDATE_HPP

#include <memory> // shared_ptr

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief one node's statement on the state of a member, itself or another
struct member_update
{
    // immutable once shared; the record's own state field is unused
    std::shared_ptr<member const> record;
    member_state state = member_state::alive;
};

/// @brief whether a member in this state has left or died
[[nodiscard]] inline bool is_removed(member_state state)
{
    return state == member_state::left || state == member_state::dead;
}

/// @brief whether a is a newer record of the same member than b
[[nodiscard]] inline bool is_later(member const & a, member const & b)
{
    return a.incarnation_number != b.incarnation_number
               ? a.incarnation_number > b.incarnation_number
               : a.sequence > b.sequence;
}

} // namespace endivehinge

#endif
