#ifndef ENDIVEHINGE_POLICY_ADMISSION_CONTROLLER_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_CONTROLLER_HPP

#include <cstdint> // uint32_t
#include <vector>  // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/admission_decision.hpp>
#include <endivehinge/policy/admission_options.hpp>
#include <endivehinge/policy/admission_queue.hpp>
#include <endivehinge/policy/concurrency_limit.hpp>
#include <endivehinge/policy/execution_result.hpp>
#include <endivehinge/policy/load_signal.hpp>
#include <endivehinge/policy/ready_ticket.hpp>
#include <endivehinge/policy/target_announcement.hpp>
#include <endivehinge/policy/ticket.hpp>

namespace endivehinge
{

/// @brief controls admission to one target: starts, queues or refuses requests
///
/// Every offered ticket ends exactly once: refused by offer or take_ready,
/// finished after its admission, or cancelled.
/// @note thread safety: none; the owner serialises calls
class admission_controller
{
public:
    explicit admission_controller(admission_options initial_options = {});

    /// @brief applies an announcement of the target
    void announce(target_announcement const & announcement);

    /// @brief refuses new requests from now on; queued ones are still served
    void stop_admitting();

    /// @brief decides on a new ticket
    /// @param offered a ticket whose ID is not in use
    /// @return admitted, queued or refused
    /// @note may evict a less urgent ticket from a full queue; take_ready then
    /// returns it as refused
    [[nodiscard]] admission_decision offer(ticket_info const & offered,
                                           time_point now);

    /// @brief releases the capacity of a request; call take_ready afterwards
    /// @param id an admitted ticket; other IDs are ignored
    void finish(ticket_id id, execution_result result, time_point now);

    /// @brief removes a queued or running ticket; call take_ready afterwards
    void cancel(ticket_id id);

    /// @brief returns the tickets that left the queue, admitted or refused
    /// @note call after finish, cancel, announce and offer
    [[nodiscard]] std::vector<ready_ticket> take_ready(time_point now);

    /// @brief the load to report to other nodes
    [[nodiscard]] load_signal load(time_point now) const;

    /// @brief requests running at the target
    [[nodiscard]] std::uint32_t running_count() const;

    /// @brief requests in the queue
    [[nodiscard]] std::uint32_t queued_count() const;

    /// @brief requests that may run concurrently at present
    [[nodiscard]] std::uint32_t limit() const;

private:
    struct running_ticket
    {
        time_point started;
        time_point deadline;
    };

    [[nodiscard]] bool has_capacity_for(ticket_info const & candidate) const;
    [[nodiscard]] bool would_be_late(ticket_info const & candidate,
                                     duration wait,
                                     time_point now) const;
    [[nodiscard]] bool exceeds_wait_limit(ticket_info const & candidate,
                                          duration wait,
                                          time_point now) const;
    [[nodiscard]] duration expected_service_time(time_point now) const;
    [[nodiscard]] duration expected_wait(std::size_t ahead,
                                         time_point now) const;
    [[nodiscard]] duration mean_age(time_point now) const;
    [[nodiscard]] admission_decision refuse(failure_id reason,
                                            time_point now) const;
    admission_decision start(ticket_info const & candidate, time_point now);
    admission_decision enqueue(ticket_info const & candidate, time_point now);
    bool ensure_queue_space(ticket_info const & candidate, time_point now);
    void evict(ticket_info const & ticket, failure_id reason, time_point now);
    void evict_unservable(time_point now);
    void evict_late(time_point now);
    void remove_running(ticket_id id);
    [[nodiscard]] bool target_accepts_requests() const;

    admission_options options;
    concurrency_limit concurrency;
    target_announcement target;
    bool admitting = true;
    time_point last_response_at;
    time_point last_queue_scan_at;
    absl::flat_hash_map<ticket_id, running_ticket> running;
    // start time of the first request since the target was last idle, and the
    // sum of the running requests' start offsets from it
    time_point start_reference;
    duration start_offset_sum{0};
    admission_queue queue;
    std::vector<ready_ticket> evicted;
};

} // namespace endivehinge

#endif
