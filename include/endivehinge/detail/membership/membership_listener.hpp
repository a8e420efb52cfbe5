#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP

#include <endivehinge/coordination/membership_event.hpp>

namespace endivehinge::detail
{

/// @brief is told what membership sees
class membership_listener
{
public:
    membership_listener() = default;
    membership_listener(membership_listener const &) = delete;
    membership_listener & operator=(membership_listener const &) = delete;
    virtual ~membership_listener() = default;

    /// @brief one event
    /// @param event a member changed, or holds a newer configuration
    /// @note called on the membership thread, so it must return at once: put
    ///       the event into a ring; it may call the membership service
    virtual void on_membership_event(membership_event const & event) = 0;
};

} // namespace endivehinge::detail

#endif
