#ifndef ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP
#define ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP

#include <deque>    // deque
#include <optional> // optional

#include <endivehinge/policy/target_status_report.hpp>

namespace endivehinge
{

/// @brief tracks the current incarnation of a target and its state
///
/// An incarnation is one process lifetime of the target. Reports may be late
/// or come from an incarnation that has ended, and a new incarnation may reuse
/// the id of an earlier one. An incarnation that has announced its shutdown
/// never becomes ready again.
/// @note pure; not thread-safe, the owner serialises all calls
class target_incarnation_tracker
{
public:
    /// @brief effect of a report
    enum class change
    {
        none,            // the report is late or from an ended incarnation
        new_incarnation, // the current incarnation was replaced
        state_changed,   // same incarnation, different state
        refreshed,       // same incarnation and state
        lost,            // another process answers at the target's address
        declined,        // a new incarnation, while none is adopted
    };

    /// @brief processes a status report
    /// @pre the report is about the target beside this node
    change report(target_status_report const & received);

    /// @brief processes a successful health check that returned this id
    ///
    /// An address may have gone to a target of another service, and a health
    /// response does not name the service. So it shows which of the known
    /// incarnations is at the address, but makes none known.
    /// @param slots number of slots that the target returned
    change record_health_response(target_id const & id, std::uint32_t slots);

    /// @brief from now on no new incarnation is adopted, because this node
    /// stops
    void stop_adopting();

    /// @brief discards the current incarnation and all that is known of earlier
    /// ones, because the node now belongs to another target
    void reset();

    /// @brief records that an incarnation responded that it is leaving
    /// @return whether it is the current one and was ready
    bool drain(target_id const & id);

    /// @brief records that an earlier process of this node knew an incarnation
    /// of the target's service
    ///
    /// A departure has no effect on an incarnation that has reported its start
    /// to this process, since a target may start again under the id that it
    /// had.
    /// @return whether it is the current one and no longer ready
    bool restore(target_id const & id, target_state state);

    /// @brief records that an incarnation has ended
    /// @return whether it was the current one
    bool leave(target_id const & id);

    /// @brief discards the current incarnation if it has this id, after the
    /// target responded that it is another incarnation
    void invalidate(target_id const & id);

    /// @brief last report of the current incarnation; empty if it is unknown
    [[nodiscard]] std::optional<target_status_report> const & current() const;

private:
    [[nodiscard]] bool has_ended(target_id const & id,
                                 std::int64_t started_ms,
                                 bool is_startup) const;
    [[nodiscard]] bool has_ended(target_id const & id) const;
    [[nodiscard]] bool is_known(target_id const & id) const;
    void record_known(target_id const & id);
    void record_ended(target_id const & id, std::int64_t started_ms);
    void apply_restored_state();

    struct ended_incarnation
    {
        target_id id;
        std::int64_t started_ms = 0;
    };

    std::optional<target_status_report> current_report;
    // known as leaving to an earlier process of this node
    std::optional<target_id> restored_leaving_id;
    // whether the current incarnation was first known by its startup report
    bool start_was_reported = false;
    std::deque<ended_incarnation> ended_incarnations;
    // by a report to this process, or by the entry of an earlier one
    std::deque<target_id> known_ids;
    bool adopts = true;
};

} // namespace endivehinge

#endif
