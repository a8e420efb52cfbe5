#ifndef ENDIVEHINGE_DETAIL_NODE_SHARED_QUARANTINE_HPP
#define ENDIVEHINGE_DETAIL_NODE_SHARED_QUARANTINE_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/bounded_queue.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/crash_quarantine.hpp>

namespace endivehinge::detail
{

/// @brief the crash quarantine of a node, protected by a mutex
/// @note thread safety: any thread
class shared_quarantine
{
public:
    /// @param time must outlive the quarantine
    explicit shared_quarantine(clock const & time);

    /// @brief whether a request may run now, and whether it must run isolated
    [[nodiscard]] quarantine_status check(request_fingerprint request);

    /// @brief records that a target crashed with the request in flight, and
    ///        queues the report for the other nodes
    /// @param isolated whether no other request was in flight on the target
    void
    crashed(request_fingerprint request, crash_id const & crash, bool isolated);

    /// @brief records that the request completed without a crash
    void finished(request_fingerprint request);

    /// @brief merges a report of another node
    void merge(crash_report const & mark);

    /// @brief reports to be sent to the other nodes of the service
    [[nodiscard]] bounded_queue<crash_report> & pending_reports();

private:
    clock const & time;
    absl::Mutex mutex;
    crash_quarantine quarantine;
    bounded_queue<crash_report> report_queue;
};

} // namespace endivehinge::detail

#endif
