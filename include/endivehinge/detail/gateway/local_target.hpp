#ifndef ENDIVEHINGE_DETAIL_GATEWAY_LOCAL_TARGET_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_LOCAL_TARGET_HPP

#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/detail/gateway/health_prober.hpp>
#include <endivehinge/detail/gateway/message_adapter.hpp>
#include <endivehinge/detail/gateway/report_adapter.hpp>
#include <endivehinge/detail/gateway/target_runner.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>
#include <endivehinge/policy/service_properties.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>
#include <endivehinge/policy/target_incarnation_tracker.hpp>

namespace endivehinge::detail
{

/// @brief the target beside this node and the one way to it
///
/// Every request for the target passes here, so drains, evacuations, the run
/// that is addressed, the bound of a cold target and its slots hold without
/// agreement between nodes.
/// @note thread safety: none; used on the event loop only
class local_target final : public target_runner
{
public:
    local_target(boost::asio::io_context & loop,
                 gateway_settings const & chosen,
                 message_adapter const & codec,
                 event_log & events);

    [[nodiscard]] cancel_action run(dispatch_request request,
                                    result_handler done) override;

    /// @brief takes in a report of the target
    /// @return whether it is about this target
    bool report(target_notice const & notice);

    /// @brief what the operators state of the target's service
    void set_properties(service_properties const & stated);

    /// @brief whether the operators have taken its failure domain out
    void set_evacuated(bool out);

    /// @brief begins to ask the target for its health
    /// @pre called once
    void start_probing();

    /// @brief sets what to do when the entry changes
    void on_entry_change(std::function<void()> action);

    /// @brief what other nodes should know of the target
    /// @return nothing where no run is known, or it has left
    [[nodiscard]] std::optional<target_entry> entry() const;

    /// @brief the load now
    [[nodiscard]] target_load load() const;

    /// @brief connections opened to the target so far
    [[nodiscard]] std::uint64_t opened_connections() const;

private:
    struct request_state
    {
        dispatch_request request;
        result_handler done;
        std::shared_ptr<client_connection> connection;
        time_point offered;
        time_point started;
        // sent again on a new connection, because an idle one was closed
        bool resent = false;
    };

    using state_pointer = std::shared_ptr<request_state>;

    void start(admission_ticket ticket);
    void send(admission_ticket ticket, state_pointer const & state, bool fresh);
    void responded(admission_ticket ticket, call_result result);
    void respond(admission_ticket ticket,
                 state_pointer const & state,
                 call_result result);
    [[nodiscard]] bool can_send_again(request_state const & state,
                                      call_result const & result) const;
    void finish(admission_ticket ticket, dispatch_result result, bool failed);
    void refuse(admission_ticket ticket,
                target_admission_verdict const & verdict);
    void review();
    void arm_review();
    void update_gate();
    void note_head(target_response_head const & head);
    void log_identity(char const * how);
    void probe_slowdown();
    void probed(call_result const & result);

    boost::asio::io_context & io;
    gateway_settings const & settings;
    message_adapter const & adapter;
    event_log & log;
    upstream server;
    health_prober prober;
    target_admission_policy gate;
    target_incarnation_tracker identity;
    std::optional<service_properties> properties;
    bool evacuated = false;
    time_point cold_until;
    std::function<void()> entry_action;
    absl::flat_hash_map<admission_ticket, state_pointer> requests;
    boost::asio::steady_timer review_timer;
    time_point last_response;
};

} // namespace endivehinge::detail

#endif
