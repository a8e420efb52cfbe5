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

/// @brief a node's part as the keeper of its service, or as one who waits to
///        become it
///
/// The keeper renews the platform's object by conditional update and grants
/// the owners' leases, each of which ends before its own. An epoch is granted
/// to none before every lease of an earlier epoch was given up or has ended.
/// A node takes over where the object has not changed for the length of the
/// keeper's lease by the node's own clock.
/// @note a pure state machine: the caller makes at most one call to the
///       platform at a time; thread safety: none, hold a lock
class service_leader
{
public:
    /// @param self this node and run
    service_leader(owner_identity self, lease_timing const & timing);

    /// @brief the call to the platform that is due
    /// @param keeper_answers whether the keeper has answered lately
    /// @return nothing where none is due, or one is under way
    [[nodiscard]] std::optional<store_call> next_call(time_point now,
                                                      bool keeper_answers);

    /// @brief a read was answered; not called for a read that failed
    void on_read(stored_assignment const & seen, time_point now);

    /// @brief a read failed
    void on_read_failed(time_point now);

    /// @brief a write has ended
    /// @param version where done, the version that it made
    void
    on_written(write_result result, object_version version, time_point now);

    /// @brief answers an owner
    [[nodiscard]] lease_grant renew(lease_renewal const & asked,
                                    time_point now);

    /// @brief another node said what the assignment is
    void observe(assignment const & current);

    /// @brief makes another member the keeper with the next write
    void leave();

    /// @brief whether its lease from the platform holds
    [[nodiscard]] bool is_leader(time_point now) const;

    /// @brief the newest assignment that it knows of
    [[nodiscard]] std::optional<assignment> const & current() const;

private:
    struct holder
    {
        // it has given up every earlier epoch
        epoch adopted_epoch;
        // its lease has ended by then
        time_point until = time_point::min();
        time_point heard;
        bool leaving = false;
    };

    struct write
    {
        assignment value;
        object_version expected;
        // the first try; the write can have taken effect since
        time_point sent;
    };

    // what is under way at the platform
    enum class call
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
    bool stays(owner_identity const & member, time_point now) const;
    void confirm(write const & done, object_version version, time_point now);
    void learn(stored_assignment const & seen, time_point now);
    void expect_earlier_leases(time_point now);
    void forget_absent(time_point now);
    duration read_interval() const;
    bool is_own(assignment const & value) const;
    std::string first_unsettled(time_point now) const;
    // every member that is heard of has adopted the current epoch; one that
    // has not could hand no records over in the next
    bool is_followed(time_point now) const;

    owner_identity self;
    lease_timing timing;
    std::optional<assignment> known;
    // of the object as it was read or written last
    object_version version;
    std::optional<time_point> version_seen;
    // set while this node keeps, or kept and may go on
    bool keeps = false;
    time_point lease_end = time_point::min();
    time_point renewal_due = time_point::min();
    time_point read_due = time_point::min();
    time_point epoch_began = time_point::min();
    std::optional<write> pending;
    call under_way = call::none;
    bool must_read = false;
    bool resigning = false;
    std::map<owner_identity, holder> holders;
};

} // namespace endivehinge

#endif
