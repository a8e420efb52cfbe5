#ifndef ENDIVEHINGE_COORDINATION_SERVICE_LEADER_HPP
#define ENDIVEHINGE_COORDINATION_SERVICE_LEADER_HPP

#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/coordination/lease_messages.hpp>
#include <endivehinge/coordination/lease_timing.hpp>
#include <endivehinge/coordination/store_call.hpp>

namespace endivehinge
{

/// @brief a node's role as the leader of its service or as a candidate
///
/// The leader renews the platform's object by conditional update and grants the
/// owners' leases, each of which ends before its own. No lease of an epoch is
/// granted before every lease of an earlier epoch was given up or has expired.
/// A candidate takes over if the object has not changed for the length of the
/// leader's lease by the candidate's own clock.
/// @note a pure state machine: the caller makes at most one call to the
///       platform at a time; thread safety: none, the caller must hold a lock
class service_leader
{
public:
    /// @param self this node and its incarnation
    service_leader(owner_identity self, lease_timing const & timing);

    /// @brief the call to the platform that is due
    /// @param leader_responds whether the leader has responded recently
    /// @return nothing if none is due or a call is in progress
    [[nodiscard]] std::optional<store_call> next_call(time_point now,
                                                      bool leader_responds);

    /// @brief applies the result of a read that succeeded
    void on_read(stored_assignment const & stored, time_point now);

    /// @brief notes that a read failed
    void on_read_failed(time_point now);

    /// @brief applies the result of a write
    /// @param version the version that the write created, if it took effect
    void
    on_written(write_result result, object_version version, time_point now);

    /// @brief handles an owner's lease renewal
    [[nodiscard]] lease_grant renew(lease_renewal const & renewal,
                                    time_point now);

    /// @brief accepts a newer assignment reported by another node; if this node
    ///        leads or is named as the leader, it reads the platform instead
    void observe(assignment const & current);

    /// @brief makes another member the leader with the next write
    void leave();

    /// @brief whether this node holds a valid leader lease
    [[nodiscard]] bool is_leader(time_point now) const;

    /// @brief the newest assignment that this node has seen
    [[nodiscard]] std::optional<assignment> const & current() const;

private:
    struct member_lease
    {
        // the member has given up all earlier epochs
        epoch adopted_epoch;
        // the member's lease has expired by this time
        time_point lease_expiry = time_point::min();
        time_point last_contact;
        bool leaving = false;
    };

    struct write
    {
        assignment value;
        object_version expected;
        // when the first attempt was sent; the write may have taken effect
        // since
        time_point first_sent;
    };

    // the call to the platform that is in progress
    enum class call_kind
    {
        none,
        read,
        write,
    };

    std::optional<store_call> send_write(time_point now);
    std::optional<store_call> send_read(time_point now);
    void plan_write(time_point now);
    assignment plan_takeover() const;
    std::vector<owner_identity> plan_members(time_point now) const;
    bool remains_member(owner_identity const & member, time_point now) const;
    void apply_written(write const & confirmed,
                       object_version version,
                       time_point now);
    void apply_stored(stored_assignment const & stored, time_point now);
    void assume_earlier_leases(time_point now);
    void remove_absent(time_point now);
    duration read_interval() const;
    bool names_self(assignment const & value) const;
    std::string first_blocking_member(time_point now) const;
    // Whether every member that is not silent has adopted the current epoch. A
    // member that has not adopted it cannot hand over records in the next one.
    bool is_epoch_adopted(time_point now) const;

    owner_identity self;
    lease_timing timing;
    std::optional<assignment> current_assignment;
    // version of the object as last read or written
    object_version version;
    std::optional<time_point> version_first_seen;
    // whether this node leads, or led and may continue
    bool leads = false;
    time_point lease_end = time_point::min();
    time_point renewal_due = time_point::min();
    time_point read_due = time_point::min();
    time_point epoch_start = time_point::min();
    std::optional<write> pending;
    call_kind active_call = call_kind::none;
    bool must_read = false;
    bool resigning = false;
    std::map<owner_identity, member_lease> member_leases;
};

} // namespace endivehinge

#endif
