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

/// @brief the admission controller of a target, shared among threads
/// @note thread safety: any thread
class target_admission
{
public:
    /// @param time outlives the gate
    explicit target_admission(clock const & time);

    /// @brief waits for a place at the target
    /// @param alone whether nothing else may run beside it
    /// @param ticket names the place, for leave
    /// @return admitted or refused, never queued
    [[nodiscard]] admission_decision
    enter(request const & candidate, bool alone, ticket_id & ticket);

    /// @brief gives a place back
    /// @param alone as given to enter
    void leave(ticket_id ticket, bool alone, execution_result result);

    /// @brief takes in what the target says of itself
    void announce(target_announcement const & said);

    /// @brief refuses new work from now on; what waits still runs
    void stop_admitting();

    /// @brief the load as other nodes should see it
    [[nodiscard]] load_signal load() const;

private:
    struct waiter
    {
        absl::CondVar changed;
        admission_decision decision;
    };

    admission_decision wait(ticket_id ticket, time_point deadline);
    bool wait_for_others(bool alone, time_point deadline);
    void wake_ready();

    clock const & time;
    mutable absl::Mutex mutex;
    admission_controller controller;
    absl::flat_hash_map<ticket_id, std::shared_ptr<waiter>> waiters;
    std::uint64_t tickets = 0;
    // requests at the target, and those that want it for themselves
    int shared_runs = 0;
    int alone_waiting = 0;
    bool alone_running = false;
};

} // namespace endivehinge::detail

#endif
