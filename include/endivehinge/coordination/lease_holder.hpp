#ifndef ENDIVEHINGE_COORDINATION_LEASE_HOLDER_HPP
#define ENDIVEHINGE_COORDINATION_LEASE_HOLDER_HPP

#include <optional> // optional

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/coordination/clock_reading.hpp>
#include <endivehinge/coordination/lease_messages.hpp>
#include <endivehinge/coordination/lease_timing.hpp>
#include <endivehinge/coordination/record_coverage.hpp>

namespace endivehinge
{

/// @brief the epoch and the lease of a node that owns keys
/// @note a pure state machine; thread safety: none, the caller must hold a lock
class lease_holder
{
public:
    /// @param self this node and its incarnation
    /// @param window the validity window of a key
    lease_holder(owner_identity self,
                 lease_timing const & timing,
                 duration window);

    /// @brief when the next renewal is due
    [[nodiscard]] time_point next_renewal() const;

    /// @brief the renewal request to send now
    [[nodiscard]] lease_renewal make_renewal(time_point now);

    /// @brief makes the next renewal due at once, for instance after a new
    ///        assignment
    void renew_soon(time_point now);

    /// @brief applies the response to a renewal, which may arrive late
    /// @param sent when the renewal was sent, by this node's clock
    /// @return whether a newer epoch was adopted, which ends all earlier leases
    bool apply_grant(lease_grant const & grant,
                     time_point sent,
                     clock_reading const & reading);

    /// @brief adopts an assignment if its epoch is newer
    /// @return whether it was adopted
    bool adopt(assignment const & next, time_point now);

    /// @brief gives up ownership of all keys with the next renewals
    void leave(time_point now);

    /// @brief the end of the current lease; nothing without a valid lease
    [[nodiscard]] std::optional<time_point> lease_end(time_point now) const;

    /// @brief the end of the lease on one key; nothing without a valid lease or
    ///        if another node owns the key
    [[nodiscard]] std::optional<time_point>
    lease_end(idempotency_key const & key, time_point now) const;

    /// @brief the assignment that was adopted last
    [[nodiscard]] std::optional<assignment> const & current() const;

    /// @brief the newest epoch that was observed, adopted or not
    [[nodiscard]] epoch newest_epoch() const;

    /// @brief notes that an epoch exists, for instance on a request that names
    ///        it
    void observe(epoch number);

    /// @brief whether the epoch immediately before the current one was adopted;
    ///        only then are this node's records of that epoch complete
    [[nodiscard]] bool adopted_previous_epoch() const;

    /// @brief the time since which this node's records are complete
    [[nodiscard]] record_coverage & coverage();

private:
    owner_identity self;
    lease_timing timing;
    record_coverage key_coverage;
    std::optional<assignment> adopted_assignment;
    std::optional<time_point> granted_until;
    epoch observed_epoch;
    time_point renewal_due = time_point::min();
    bool adopted_previous = false;
    bool leaving = false;
};

} // namespace endivehinge

#endif
