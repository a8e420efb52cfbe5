#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CRASH_MONITOR_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CRASH_MONITOR_HPP

#include <cstdint>    // uint64_t
#include <functional> // function
#include <vector>     // vector

#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/policy/completed_request_set.hpp>
#include <endivehinge/policy/crash_evidence.hpp>
#include <endivehinge/policy/crash_quarantine.hpp>

namespace endivehinge::detail
{

/// @brief a digest of the content of a request; the same on every node and in
/// every attempt of a client
/// @note thread safety: any thread
[[nodiscard]] request_fingerprint
fingerprint_of(dispatch_request const & request);

/// @brief recognises crashes of the local target and the requests that crash
/// the targets of its service
/// @note thread safety: none; used on the event loop only
class target_crash_monitor
{
public:
    using reports_handler = std::function<void(std::vector<crash_report>)>;

    target_crash_monitor(gateway_settings const & node_settings,
                         event_log & events);

    /// @brief sets the action that sends reports of crashes to the other nodes
    /// of the service
    void on_crash(reports_handler handler);

    /// @brief whether a request must be refused, run isolated, or neither
    [[nodiscard]] quarantine_status check(dispatch_request const & request);

    /// @brief records that the target completed a request without a failure
    void record_success(dispatch_request const & request);

    /// @brief records that the connection of a running request was lost
    /// @param isolated whether no other suspect was running on the target
    void record_lost(dispatch_request const & request,
                     bool isolated,
                     time_point started_at);

    /// @brief records that the target still runs, so that no loss of a
    /// connection was a crash
    void dismiss_losses();

    /// @brief records that the target accepts no connection or is another
    /// incarnation
    /// @param target the incarnation that has ended
    void confirm_crash(target_id const & target);

    /// @brief applies reports of another node of the service
    void merge(std::vector<crash_report> const & reports);

    /// @brief applies the requests that a node published as crashing
    void restore(std::vector<quarantined_request> const & published);

    /// @brief the crashing requests to be published, newest last; limited in
    /// number
    [[nodiscard]] std::vector<quarantined_request> crashing() const;

    /// @brief number of crashes of the local target with requests in flight
    [[nodiscard]] std::uint64_t crash_count() const;

private:
    /// @brief logs and publishes the request if it is crashing now
    /// @pre it was not before
    void announce_quarantine(request_fingerprint request);
    [[nodiscard]] request_frequency
    frequency_of(request_fingerprint request) const;
    [[nodiscard]] bool is_crashing(request_fingerprint request);
    void publish(quarantined_request const & request);

    gateway_settings const & settings;
    event_log & log;
    reports_handler handler;
    crash_evidence evidence;
    std::uint64_t crashes = 0;
    completed_request_set completed;
    crash_quarantine quarantine;
    // the expiry of each is fixed, so that the entry does not change with time
    std::vector<quarantined_request> quarantined;
};

} // namespace endivehinge::detail

#endif
