#ifndef ENDIVEHINGE_POLICY_READY_TICKET_HPP
#define ENDIVEHINGE_POLICY_READY_TICKET_HPP

#include <endivehinge/policy/admission_decision.hpp>
#include <endivehinge/policy/ticket.hpp>

namespace endivehinge
{

/// @brief a ticket that left the admission queue, and the decision on it
struct ready_ticket
{
    ticket_id id;
    // admitted or refused, never queued
    admission_decision decision;
};

} // namespace endivehinge

#endif
