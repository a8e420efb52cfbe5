#ifndef ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP
#define ENDIVEHINGE_POLICY_TARGET_INCARNATION_TRACKER_HPP

#include <deque>    // deque
#include <optional> // optional

#include <endivehinge/policy/target_status_report.hpp>

namespace endivehinge
{

/// @brief decides which run of a target is the current one, and its state
///
/// Reports may be late, may come from a run that has ended, and a run may have
/// the id of an earlier one. A run that has said that it leaves is never taken
/// as ready again.
/// @note pure; thread safety: none, the owner serialises
class target_incarnation_tracker
{
public:
    /// @brief what a report changed
    enum class change
    {
        none,            // late, or nothing new
        new_incarnation, // another run is the current one
        state,           // the same run, in another state
        refreshed,       // the same run and state
    };

    /// @brief takes in a report
    /// @pre the report is about the target beside this node
    change report(target_status_report const & said);

    /// @brief takes in that a target responds to its id and is healthy
    /// @param slots as the target states them
    change record_health_response(target_id const & id, std::uint32_t slots);

    /// @brief the run leaves for good
    /// @return whether it was the current one
    bool leave(target_id const & id);

    /// @brief another run responded at the address of the current one
    void invalidate(target_id const & id);

    /// @brief the current run; nothing where none is known
    [[nodiscard]] std::optional<target_status_report> const & current() const;

private:
    [[nodiscard]] bool
    has_ended(target_id const & id, std::int64_t started_ms, bool starts) const;
    void note_ended(target_id const & id, std::int64_t started_ms);

    struct ended_run
    {
        target_id id;
        std::int64_t started_ms = 0;
    };

    std::optional<target_status_report> known;
    std::deque<ended_run> ended;
};

} // namespace endivehinge

#endif
