#ifndef ENDIVEHINGE_POLICY_KNOWN_INCARNATION_HPP
#define ENDIVEHINGE_POLICY_KNOWN_INCARNATION_HPP

#include <cstdint> // uint32_t

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
    // its start time contradicts the order in which reports arrived: they are
    // late, or the clock by which targets state their start has jumped
    bool is_doubtful = false;
    // since the last report of another incarnation under its id
    std::uint32_t uninterrupted_reports = 0;
};

} // namespace endivehinge

#endif
