#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CRASH_MONITOR_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CRASH_MONITOR_HPP

#include <functional> // function
#include <vector>     // vector

#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/policy/crash_evidence.hpp>

namespace endivehinge::detail
{

/// @brief a digest of the content of a request; the same on every node and in
/// every attempt of a client
/// @note thread safety: any thread
[[nodiscard]] request_fingerprint
fingerprint_of(dispatch_request const & request);

/// @brief recognises crashes of the local target and the requests that were in
/// flight then
/// @note thread safety: none; used on the event loop only
class target_crash_monitor
{
public:
    target_crash_monitor(gateway_settings const & node_settings,
                         event_log & events);

    /// @brief records that the connection of a running request was lost
    /// @param isolated whether no other suspect was running on the target
    void record_lost(dispatch_request const & request, bool isolated);

    /// @brief records that the target accepts no connection or is another
    /// incarnation
    /// @param target the incarnation that has ended
    void confirm_crash(target_id const & target);

private:
    gateway_settings const & settings;
    event_log & log;
    crash_evidence evidence;
};

} // namespace endivehinge::detail

#endif
