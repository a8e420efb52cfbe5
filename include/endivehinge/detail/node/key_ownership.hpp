#ifndef ENDIVEHINGE_DETAIL_NODE_KEY_OWNERSHIP_HPP
#define ENDIVEHINGE_DETAIL_NODE_KEY_OWNERSHIP_HPP

#include <functional> // function
#include <optional>   // optional
#include <vector>     // vector

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/key_owner.hpp>
#include <endivehinge/coordination/service_leader.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/control/lease_handler.hpp>

namespace endivehinge::detail
{

/// @brief the key ownership state of this node in its service: the leases and
///        records of the keys that it owns, and the leader's state while it
///        leads
/// @note thread safety: any thread
class key_ownership final : public lease_handler
{
public:
    /// @brief runs a request on a target within the request's deadline
    using dispatch_function = std::function<outcome(request const &)>;

    /// @param self this node and its incarnation
    /// @param service the service of the target beside this node
    /// @param time outlives this object
    key_ownership(owner_identity self,
                  service_name service,
                  lease_timing const & timing,
                  idempotency_limits const & limits,
                  clock const & time);

    /// @brief runs a request with a key at most once, as the owner of the key
    /// @param keyed must have a key
    /// @param dispatch called at most once
    /// @return for a duplicate: the outcome of the first request, or
    ///         `indeterminate` if it still runs at the duplicate's deadline
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute_as_owner(request const & keyed,
                                           dispatch_function const & dispatch);

    /// @brief checks whether a request that an owner dispatched in an epoch may
    ///        still start on this node
    ///
    /// Records an epoch that is newer than the newest seen; requests of earlier
    /// epochs are rejected from then on.
    /// @note thread safety: any thread
    [[nodiscard]] bool admit_epoch(epoch number);

    /// @brief returns the newest assignment that this node has received
    /// @note thread safety: any thread
    [[nodiscard]] std::optional<assignment> current() const;

    /// @brief whether this node holds a lease of the newest epoch that it has
    ///        received
    /// @note thread safety: any thread
    [[nodiscard]] bool holds_lease() const;

    /// @brief sets how long keys stay valid
    /// @note thread safety: any thread
    void set_window(duration window);

    bool renew_lease(wire::lease_request const & message,
                     wire::lease_response & response) override;
    bool hand_over(wire::handover_request const & message,
                   wire::handover_response & response) override;

    // The functions below are called by the threads of the ownership service.

    /// @brief returns the time at which the next renewal is due
    [[nodiscard]] time_point next_renewal() const;

    /// @brief a renewal in progress
    struct sent_renewal
    {
        lease_renewal message;
        time_point sent;
        // whether this node is the leader and has granted the renewal itself
        bool is_granted_locally = false;
        std::optional<owner_identity> leader;
    };

    /// @brief creates a renewal, and grants it if this node is the leader
    [[nodiscard]] sent_renewal begin_renewal();

    /// @brief applies the response to a renewal
    /// @param sent when the renewal was sent
    void apply_grant(lease_grant const & grant, time_point sent);

    /// @brief whether the leader has responded recently
    [[nodiscard]] bool is_leader_responding() const;

    /// @brief returns the call to the platform that is due, if any
    [[nodiscard]] std::optional<store_call> next_call();

    /// @brief records the result of a read; nothing if the read failed
    void on_read(std::optional<stored_assignment> const & stored);
    /// @brief records the result of a write
    void on_written(write_result result, object_version version);

    /// @brief removes and returns the handovers that are due
    [[nodiscard]] std::vector<record_handover> take_handovers();

    /// @brief starts to give up the keys, the leases and the leadership
    void leave();

    /// @brief whether this node owns no keys and runs no keyed request
    [[nodiscard]] bool has_left() const;

private:
    outcome dispatch_once(request const & keyed,
                          owner_report const & started,
                          dispatch_function const & dispatch);
    outcome outcome_without_dispatch(owner_report const & report) const;
    void wait_while_in_flight(request const & keyed);
    bool wait_for_records(request const & keyed);
    void apply_grant_locked(lease_grant const & grant, time_point sent);

    owner_identity self;
    service_name service;
    clock const & time;
    mutable absl::Mutex mutex;
    service_leader leader;
    key_owner owner;
    std::optional<time_point> last_leader_response;
    int in_flight_count = 0;
};

} // namespace endivehinge::detail

#endif
