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

/// @brief the only way into one target: starts, queues or refuses requests
///
/// Each ticket that was offered ends once: refused by offer or take_ready, or
/// admitted and then finished, or cancelled.
/// @note thread safety: none; the owner serialises
class admission_controller
{
public:
    explicit admission_controller(admission_options chosen = {});

    /// @brief takes in what the target says of itself
    void announce(target_announcement const & said);

    /// @brief refuses new work from now on; the queue still runs
    void stop_admitting();

    /// @brief asks for a place
    /// @param offered its id is not in use
    /// @return admitted, queued or refused
    /// @note may push a less urgent ticket out of the queue, which take_ready
    /// then names as refused
    [[nodiscard]] admission_decision offer(ticket_info const & offered,
                                           time_point now);

    /// @brief gives a place back; call take_ready after it
    /// @param id of an admitted ticket; others are ignored
    void finish(ticket_id id, execution_result result, time_point now);

    /// @brief withdraws a ticket, queued or running; call take_ready after it
    void cancel(ticket_id id);

    /// @brief tickets that left the queue: to start, or refused
    /// @note call after finish, cancel, announce and offer
    [[nodiscard]] std::vector<ready_ticket> take_ready(time_point now);

    /// @brief the load as others should see it
    [[nodiscard]] load_signal load(time_point now) const;

    /// @brief those that run at the target now
    [[nodiscard]] std::uint32_t running_count() const;

    /// @brief those that wait
    [[nodiscard]] std::uint32_t queued_count() const;

    /// @brief requests that may run at once now
    [[nodiscard]] std::uint32_t limit() const;

private:
    struct running_ticket
    {
        time_point started;
        time_point deadline;
    };

    [[nodiscard]] bool has_place(ticket_info const & candidate) const;
    [[nodiscard]] bool would_be_late(ticket_info const & candidate,
                                     duration wait,
                                     time_point now) const;
    [[nodiscard]] bool is_too_long(ticket_info const & candidate,
                                   duration wait,
                                   time_point now) const;
    [[nodiscard]] duration expected_run(time_point now) const;
    [[nodiscard]] duration expected_wait(std::size_t ahead,
                                         time_point now) const;
    [[nodiscard]] duration mean_age(time_point now) const;
    [[nodiscard]] admission_decision refuse(failure_id reason,
                                            time_point now) const;
    admission_decision start(ticket_info const & candidate, time_point now);
    admission_decision enqueue(ticket_info const & candidate, time_point now);
    bool make_room_for(ticket_info const & candidate, time_point now);
    void
    push_out(ticket_info const & ticket, failure_id reason, time_point now);
    void push_out_lost_ones(time_point now);
    void push_out_late_ones(time_point now);
    void remove_running(ticket_id id);
    [[nodiscard]] bool is_target_open() const;

    admission_options options;
    concurrency_limit concurrency;
    target_announcement target;
    bool admitting = true;
    time_point last_answer;
    time_point last_review;
    absl::flat_hash_map<ticket_id, running_ticket> running;
    // when the first started since none ran, and the sum of the starts since
    time_point first_start;
    duration start_sum{0};
    admission_queue queue;
    std::vector<ready_ticket> pushed_out;
};

} // namespace endivehinge

#endif
