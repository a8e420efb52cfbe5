#ifndef ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP
#define ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP

#include <cstdint>  // int64_t, uint32_t
#include <deque>    // deque
#include <optional> // optional

#include <endivehinge/policy/known_incarnation.hpp>
#include <endivehinge/policy/target_status_report.hpp>

namespace endivehinge
{

/// @brief tracks the incarnations of a target and their state
///
/// An incarnation is one process lifetime of the target: an id and a start
/// time. A new incarnation may reuse the id of an earlier one. Messages may be
/// late or come from an incarnation that has ended, and what an earlier process
/// of this node confirmed binds this one. The state of an incarnation only ever
/// moves on:
///
/// | message of an incarnation | ready         | draining | removed |
/// |---------------------------|---------------|----------|---------|
/// | report "ready"            | ready         | draining | removed |
/// | report "draining"         | draining      | draining | removed |
/// | response that it leaves   | draining      | draining | removed |
/// | leave                     | removed       | removed  | removed |
/// | entry of earlier process  | state of both that is further on   |
///
/// An incarnation that is not known is adopted in the state that it reports,
/// and ends the one before, unless it started earlier than one that has
/// reported to this process or is leaving. Then its report may be late, or the
/// clock has jumped back, and it is doubtful:
///
/// | of a doubtful incarnation | effect                                       |
/// |---------------------------|----------------------------------------------|
/// | health response, other id | adopted: it is at the address                |
/// | "draining", same id       | the id gets no request until its other       |
/// |                           | incarnation reports again                    |
/// | some reports in a row     | adopted in place of a ready one under its id |
/// | the same, and a health    | adopted in place of one under its id that is |
/// | response                  | leaving                                      |
/// @note pure; not thread-safe, the owner serialises all calls
class target_incarnation_tracker
{
public:
    /// @brief effect of a message
    enum class change
    {
        none,            // the message is late or from an ended incarnation
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

    /// @brief from now on no new incarnation is adopted as ready, because this
    /// node stops
    void stop_adopting();

    /// @brief discards the current incarnation and all that is known of earlier
    /// ones, because the node now belongs to another target
    void reset();

    /// @brief records that an incarnation responded that it is leaving
    /// @return whether it is the current one and was ready
    bool drain(target_id const & id);

    /// @brief records the state in which an earlier process of this node knew
    /// an incarnation of the target's service
    ///
    /// Without a start time, a departure has no effect on an incarnation that
    /// has reported its start to this process, since a target may start again
    /// under the id that it had.
    /// @param stored id, start time, state and slots of the incarnation
    /// @return whether the current incarnation changed
    bool restore(target_status_report const & stored);

    /// @brief records that an incarnation has ended
    /// @param started_ms 0: unknown
    /// @return whether current() or departed() changed
    bool leave(target_id const & id, std::int64_t started_ms);

    /// @brief discards the current incarnation if it has this id, after the
    /// target responded that it is another incarnation
    void invalidate(target_id const & id);

    /// @brief last report of the current incarnation; empty if it is unknown
    [[nodiscard]] std::optional<target_status_report> const & current() const;

    /// @brief the incarnation that announced its departure last and is not the
    /// current one; empty if it has a successor
    ///
    /// The departure was confirmed, so that it must be stored for the next
    /// process of this node.
    [[nodiscard]] std::optional<target_status_report> const & departed() const;

private:
    /// @brief the incarnation with this id and start; if one of the two starts
    /// is unknown, the latest one with this id
    [[nodiscard]] known_incarnation * find(target_id const & id,
                                           std::int64_t started_ms);
    [[nodiscard]] known_incarnation * find_usable(target_id const & id);
    [[nodiscard]] bool is_current(known_incarnation const & entry) const;
    /// @brief whether it started before an incarnation that has reported to
    /// this process or is leaving
    [[nodiscard]] bool
    is_contradicted(target_status_report const & received) const;
    /// @brief a doubtful incarnation that has reported often enough to be
    /// adopted under an id that is in use; null: none
    [[nodiscard]] known_incarnation * find_proven(target_id const & id);
    [[nodiscard]] bool is_leaving(target_id const & id) const;
    /// @brief counts the reports in a row under an id
    void count_report(known_incarnation & entry);
    change add_doubtful(target_status_report const & received);
    change update_doubtful(known_incarnation & entry);
    /// @brief puts a doubtful incarnation in the place of the current one
    void replace_current(known_incarnation & entry);
    [[nodiscard]] bool has_ended(target_id const & id) const;
    known_incarnation & add(target_status_report const & received);
    /// @brief forgets the oldest incarnation if there are too many
    void make_room();
    change update(known_incarnation & entry,
                  target_status_report const & received);
    change adopt(known_incarnation & entry);
    /// @brief the current incarnation is no longer at the address
    void discard_current();
    /// @brief keeps the later one of this and the departed incarnation
    void set_departed(target_status_report const & departed);
    /// @brief marks the current incarnation as ended
    void end_current();

    std::deque<known_incarnation> known;
    std::optional<target_status_report> current_report;
    std::optional<target_status_report> departed_report;
    bool adopts = true;
};

} // namespace endivehinge

#endif
