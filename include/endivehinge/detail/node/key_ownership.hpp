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

/// @brief this node's part in the keys of its service, shared by threads
class key_ownership final : public lease_handler
{
public:
    /// @brief runs a request on some target, by the deadline that it carries
    using dispatch_function = std::function<outcome(request const &)>;

    /// @param self this node and run
    /// @param service of the target beside this node
    /// @param time outlives this object
    key_ownership(owner_identity self,
                  service_name service,
                  lease_timing const & timing,
                  idempotency_limits const & limits,
                  clock const & time);

    /// @brief runs a request with a key at most once, as the key's owner
    /// @param keyed has a key
    /// @param dispatch called at most once
    /// @return of a duplicate: the first request's outcome; `indeterminate`
    ///         where that one still runs at the duplicate's deadline
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute_as_owner(request const & keyed,
                                           dispatch_function const & dispatch);

    /// @brief whether a request that an owner dispatched under an epoch may
    ///        still start here; a newer epoch ends the earlier ones
    /// @note thread safety: any thread
    [[nodiscard]] bool admit_epoch(epoch number);

    /// @brief the assignment that is in force as far as this node knows
    /// @note thread safety: any thread
    [[nodiscard]] std::optional<assignment> current() const;

    /// @brief whether this node holds a lease of the epoch in force, as far as
    ///        it knows
    /// @note thread safety: any thread
    [[nodiscard]] bool holds_lease() const;

    /// @brief changes how long keys are valid from now on
    /// @note thread safety: any thread
    void set_window(duration window);

    bool renew_lease(wire::lease_request const & asked,
                     wire::lease_response & answer) override;
    bool hand_over(wire::handover_request const & handed,
                   wire::handover_response & answer) override;

    // for the threads of the ownership service //

    /// @brief when the next renewal is due
    [[nodiscard]] time_point next_renewal() const;

    /// @brief a renewal that is on its way
    struct sent_renewal
    {
        lease_renewal message;
        time_point sent;
        // nothing where this node keeps, and has answered itself
        bool is_answered = false;
        std::optional<owner_identity> leader;
    };

    /// @brief makes a renewal, and answers it where this node keeps
    [[nodiscard]] sent_renewal begin_renewal();

    /// @brief takes in an answer to a renewal
    void take(lease_grant const & grant, time_point sent);

    /// @brief whether the keeper has answered lately
    [[nodiscard]] bool keeper_answers() const;

    /// @brief the call to the platform that is due
    [[nodiscard]] std::optional<store_call> next_call();

    /// @brief how such a call has ended; nothing: a read that failed
    void on_read(std::optional<stored_assignment> const & seen);
    void on_written(write_result result, object_version version);

    /// @brief the handovers that are to be sent
    [[nodiscard]] std::vector<record_handover> take_handovers();

    /// @brief gives up keys, leases and the keeper's part
    void leave();

    /// @brief whether others own the keys and none is in flight here
    [[nodiscard]] bool has_left() const;

private:
    outcome dispatch_once(request const & keyed,
                          owner_report const & started,
                          dispatch_function const & dispatch);
    outcome refuse(owner_report const & report) const;
    void wait_while_in_flight(request const & keyed);
    bool wait_for_records(request const & keyed);
    void take_locked(lease_grant const & grant, time_point sent);

    owner_identity self;
    service_name service;
    clock const & time;
    mutable absl::Mutex mutex;
    service_leader leader;
    key_owner owner;
    std::optional<time_point> keeper_answered;
    int in_flight = 0;
};

} // namespace endivehinge::detail

#endif
