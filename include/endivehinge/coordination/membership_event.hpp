#ifndef ENDIVEHINGE_COORDINATION_MEMBERSHIP_EVENT_HPP
#define ENDIVEHINGE_COORDINATION_MEMBERSHIP_EVENT_HPP

#include <memory> // shared_ptr

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief type of a membership event
enum class membership_event_kind
{
    // a member joined, changed its record or changed its state
    member_changed,
    // a member has a newer configuration version than this node
    newer_configuration,
};

/// @brief a change in this node's view of the members
struct membership_event
{
    membership_event_kind kind = membership_event_kind::member_changed;
    // the record's own state field is unused
    std::shared_ptr<member const> record;
    member_state state = member_state::alive;
    // only for newer_configuration: the member's version
    object_version configuration;
};

} // namespace endivehinge

#endif
