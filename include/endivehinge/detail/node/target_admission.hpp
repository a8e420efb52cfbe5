#ifndef ENDIVEHINGE_DETAIL_NODE_TARGET_ADMISSION_HPP
#define ENDIVEHINGE_DETAIL_NODE_TARGET_ADMISSION_HPP

#include <cstdint> // uint64_t
#include <memory>  // shared_ptr

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/synchronization/mutex.h>   // Mutex

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/policy/admission_controller.hpp>

namespace endivehinge::detail
{

/// @brief blocking, thread-safe admission controller of a target
/// @note thread safety: any thread
class target_admission
{
public:
    /// @param time outlives this object
    explicit target_admission(clock const & time);

    /// @brief waits until a request is admitted to the target or refused
    /// @param isolated whether no other request may run at the same time
    /// @param ticket set to the ticket of the request, to pass to release
    /// @return admitted or refused, never queued
    [[nodiscard]] admission_decision
    admit(request const & candidate, bool isolated, ticket_id & ticket);

    /// @brief releases the ticket of a request that was admitted and has ended
    /// @param isolated the value passed to admit
    void release(ticket_id ticket, bool isolated, execution_result result);

    /// @brief applies an announcement of the target
    void announce(target_announcement const & announcement);

    /// @brief refuses all further requests; queued requests still run
    void stop_admitting();

    /// @brief the load of the target to report to other nodes
    [[nodiscard]] load_signal load() const;

private:
    struct waiter
    {
        absl::CondVar decided;
        admission_decision decision;
    };

    admission_decision wait_in_queue(ticket_id ticket, time_point deadline);
    bool wait_for_isolation(bool isolated, time_point deadline);
    void notify_decided();

    clock const & time;
    mutable absl::Mutex mutex;
    admission_controller controller;
    absl::flat_hash_map<ticket_id, std::shared_ptr<waiter>> waiters;
    std::uint64_t last_ticket_number = 0;
    // requests running at the target together, and isolated requests, which
    // run only while no other does
    int non_isolated_running = 0;
    int waiting_isolated = 0;
    bool isolated_running = false;
};

} // namespace endivehinge::detail

#endif
