#ifndef ENDIVEHINGE_DETAIL_NODE_SHARED_QUARANTINE_HPP
#define ENDIVEHINGE_DETAIL_NODE_SHARED_QUARANTINE_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/bounded_ring.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/crash_quarantine.hpp>

namespace endivehinge::detail
{

/// @brief the quarantine of a node, shared among threads
/// @note thread safety: any thread
class shared_quarantine
{
public:
    /// @param time outlives the board
    explicit shared_quarantine(clock const & time);

    /// @brief how a request is to be run now
    [[nodiscard]] quarantine_report check(request_fingerprint request);

    /// @brief a target died with the request in flight; queues the news
    void
    crashed(request_fingerprint request, crash_id const & crash, bool alone);

    /// @brief the request ran to its end
    void finished(request_fingerprint request);

    /// @brief takes in what another node tells
    void merge(crash_mark const & mark);

    /// @brief what is to be told to the other nodes of the service
    [[nodiscard]] bounded_ring<crash_mark> & pending_reports();

private:
    clock const & time;
    absl::Mutex mutex;
    crash_quarantine quarantine;
    bounded_ring<crash_mark> outgoing;
};

} // namespace endivehinge::detail

#endif
