#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CRASH_REPORT_SENDER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CRASH_REPORT_SENDER_HPP

#include <vector> // vector

#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/policy/crash_report.hpp>

namespace endivehinge::detail
{

/// @brief sends crash reports to the other nodes of this node's service
///
/// They are the only ones that run the request. A node that cannot be reached
/// reads from the entries of the others which requests are quarantined.
/// @note thread safety: none; used on the event loop only
class crash_report_sender
{
public:
    explicit crash_report_sender(gateway_state & shared_state);

    /// @brief sends the reports once to each node
    void send(std::vector<crash_report> const & reports);

private:
    void send_to(endpoint const & peer, request_message message);

    gateway_state & state;
};

} // namespace endivehinge::detail

#endif
