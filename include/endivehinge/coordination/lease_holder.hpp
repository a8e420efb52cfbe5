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

/// @brief a node's part as an owner of keys: its epoch and its lease
/// @note a pure state machine; thread safety: none, hold a lock
class lease_holder
{
public:
    /// @param self this node and run
    /// @param window how long a key is valid
    lease_holder(owner_identity self,
                 lease_timing const & timing,
                 duration window);

    /// @brief when the next renewal is due
    [[nodiscard]] time_point next_renewal() const;

    /// @brief the renewal to send now
    [[nodiscard]] lease_renewal make_renewal(time_point now);

    /// @brief asks for the lease at once, such as after a new assignment
    void renew_soon(time_point now);

    /// @brief takes in an answer to a renewal, however late
    /// @param sent when the renewal was sent, by this node's clock
    /// @return whether a newer epoch was adopted; earlier ones are over
    bool apply_grant(lease_grant const & grant,
                     time_point sent,
                     clock_reading const & at);

    /// @brief adopts an assignment if it is newer
    /// @return whether it was
    bool adopt(assignment const & next, time_point now);

    /// @brief gives up the keys with the next renewals
    void leave(time_point now);

    /// @brief until when it may dispatch as an owner; nothing: not now
    [[nodiscard]] std::optional<time_point> lease_end(time_point now) const;

    /// @brief the same for one key; nothing also where another owns it
    [[nodiscard]] std::optional<time_point>
    lease_end(idempotency_key const & key, time_point now) const;

    /// @brief the assignment that was adopted last
    [[nodiscard]] std::optional<assignment> const & current() const;

    /// @brief the newest epoch that it has heard of
    [[nodiscard]] epoch newest_epoch() const;

    /// @brief an epoch was heard of, such as with a request
    void observe(epoch number);

    /// @brief whether it adopted the epoch right before the current one, so
    ///        that its records of that epoch are all there are
    [[nodiscard]] bool followed() const;

    /// @brief since when its records are whole
    [[nodiscard]] record_coverage & coverage();

private:
    owner_identity self;
    lease_timing timing;
    record_coverage covered;
    std::optional<assignment> adopted;
    std::optional<time_point> granted_until;
    epoch heard;
    time_point renewal_due = time_point::min();
    bool has_followed = false;
    bool leaving = false;
};

} // namespace endivehinge

#endif
