#ifndef ENDIVEHINGE_POLICY_KNOWN_INCARNATION_HPP
#define ENDIVEHINGE_POLICY_KNOWN_INCARNATION_HPP

#include <endivehinge/policy/target_status_report.hpp>

namespace endivehinge
{

/// @brief an incarnation of a target that reported to this process or, in the
/// entry of the target, to an earlier one
struct known_incarnation
{
    // the last report that was not late; its state is the furthest one that is
    // known
    target_status_report report;
    // whether it reported its start to this process
    bool start_was_reported = false;
};

} // namespace endivehinge

#endif
