#ifndef ENDIVEHINGE_COORDINATION_MEMBERSHIP_EVENT_HPP
#define ENDIVEHINGE_COORDINATION_MEMBERSHIP_EVENT_HPP

#include <memory> // shared_ptr

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief what membership saw
enum class membership_event_kind
{
    // a member is new, says something new of itself or changed its state
    member_changed,
    // a member holds a configuration version that this node does not
    newer_configuration,
};

/// @brief one thing that membership saw
struct membership_event
{
    membership_event_kind kind = membership_event_kind::member_changed;
    // its state field is not used
    std::shared_ptr<member const> record;
    member_state state = member_state::alive;
    // where the event is about a configuration
    object_version configuration;
};

} // namespace endivehinge

#endif
