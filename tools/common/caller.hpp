#ifndef ENDIVEHINGE_TOOLS_COMMON_CALLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CALLER_HPP

#include <string> // string

#include <common/call_mix.hpp>
#include <common/history_log.hpp>
#include <common/ingress_list.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::tools
{

/// @brief how a call ended for its caller
struct call_end
{
    history_event event = history_event::lost;
    duration took{0};
};

/// @brief makes calls as a careful caller does, and writes them down
/// @note sends again through another node where that is safe: after a
///       rejection, and after a lost connection or an unknown outcome where
///       the call may be repeated or has a key; until the call's deadline
/// @note thread safety: one thread
class caller
{
public:
    /// @param nodes outlives the caller
    /// @param history outlives the caller
    /// @param mix outlives the caller; draws the nodes
    /// @param time outlives the caller
    caller(ingress_list const & nodes,
           history_log & history,
           call_mix & mix,
           clock const & time);

    /// @brief makes one call to its end
    [[nodiscard]] call_end make(call_plan const & plan);

private:
    // one call in progress
    struct progress
    {
        call_plan const & plan;
        time_point begin;
        time_point deadline;
        int tries = 0;
        bool maybe_ran = false;
        std::string attempt = {};
        std::optional<endpoint> node = {};
    };

    bool try_once(progress & call);
    bool take_response(progress & call, http_response const & response);
    bool take_silence(progress & call, bool maybe_sent, failure const & reason);
    bool take_rejection(progress & call, http_response const & response);
    void take_answer(progress const & call, http_response const & response);
    bool pause(progress const & call, duration span);
    void end(progress const & call, history_event event);
    history_record record(progress const & call, history_event event) const;

    ingress_list const & nodes;
    history_log & history;
    call_mix & mix;
    clock const & time;
    detail::http_client client{detail::http_client_limits()};
    std::string last_id;
    history_event last_end = history_event::lost;
};

} // namespace endivehinge::tools

#endif
