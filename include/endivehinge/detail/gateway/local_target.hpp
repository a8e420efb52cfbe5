#ifndef ENDIVEHINGE_DETAIL_GATEWAY_LOCAL_TARGET_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_LOCAL_TARGET_HPP

#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/detail/gateway/health_prober.hpp>
#include <endivehinge/detail/gateway/message_adapter.hpp>
#include <endivehinge/detail/gateway/report_adapter.hpp>
#include <endivehinge/detail/gateway/rollout_participant.hpp>
#include <endivehinge/detail/gateway/target_crash_monitor.hpp>
#include <endivehinge/detail/gateway/target_runner.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>
#include <endivehinge/policy/call_route_detector.hpp>
#include <endivehinge/policy/client_account.hpp>
#include <endivehinge/policy/service_properties.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>
#include <endivehinge/policy/target_incarnation_tracker.hpp>

namespace endivehinge::detail
{

/// @brief admission control and dispatch for the target of this node
///
/// Every request for the target passes through this class. Drains, evacuations,
/// the addressed incarnation, the rate limit of a cold target and its slots are
/// therefore enforced without coordination between nodes.
/// @note thread safety: none; used on the event loop only
class local_target final : public target_runner
{
public:
    local_target(boost::asio::io_context & loop,
                 gateway_settings const & node_settings,
                 message_adapter const & message_codec,
                 event_log & events,
                 response_registry & responses);

    [[nodiscard]] control run(dispatch_request request,
                              result_handler done,
                              silence_handler on_silence) override;

    /// @brief what became of a status report
    enum class report_result
    {
        accepted,
        other_target, // it is about a target of another service or address
        declined,     // this node stops and adopts no new incarnation
    };

    /// @brief applies a status report that a target sent to this node
    report_result report(target_notice const & notice);

    /// @brief no new incarnation of the target is adopted from now on, because
    /// this node stops; its address may go to another target meanwhile
    void stop_adopting();

    /// @brief follows a change of the service or the address in the settings:
    /// the node belongs to another target from now on
    void reassign();

    /// @brief applies the configured properties of the target's service
    void set_properties(service_properties const & configured);

    /// @brief applies the configured rates of client accounts, by which scarce
    /// capacity is shared
    void set_accounts(std::vector<client_account> const & accounts);

    /// @brief sets whether the target's failure domain is evacuated
    void set_evacuated(bool is_evacuated);

    /// @brief takes over from the stored entry which incarnation of the target
    /// an earlier process of this node knew, and whether it was leaving
    void restore(target_entry const & stored);

    /// @brief calls back if the target has left and its address refuses
    /// connections, so that no late message can bring it back
    /// @pre called on the event loop; at most once
    void when_departed(std::function<void()> callback);

    /// @brief sets the gate for versions of the target; null: none
    /// @param participant must outlive this object
    void set_rollout(rollout_participant * participant);

    /// @brief the report of this target to the coordinator of a roll-out
    /// @pre set_rollout() was called with a participant
    [[nodiscard]] rollout_counts rollout_report() const;

    /// @brief starts periodic health probes
    /// @pre called once
    void start_probing();

    /// @brief why a request must not start any more, or null
    using start_check = std::function<char const *(dispatch_request const &)>;

    /// @brief sets the check of each request at its start at the target, which
    /// may be long after its arrival
    void set_start_check(start_check new_check);

    /// @brief on which routes the target makes calls while it runs requests
    [[nodiscard]] call_route_detector & call_routes();

    /// @brief sets the action to run when entry() may have changed
    void on_entry_change(std::function<void()> action);

    /// @brief the crashes of the target and the requests that cause them
    [[nodiscard]] target_crash_monitor & crash_monitor();

    /// @brief entry of the target that is published to other nodes
    /// @return an entry in the state `removed` if the target has left, no value
    /// if none of its incarnations is known
    [[nodiscard]] std::optional<target_entry> entry() const;

    /// @brief current load of the target
    [[nodiscard]] target_load load() const;

    /// @brief number of connections opened to the target
    [[nodiscard]] std::uint64_t opened_connections() const;

private:
    struct request_state
    {
        dispatch_request request;
        result_handler done;
        std::shared_ptr<client_connection> connection;
        time_point queued_at;
        time_point started_at;
        // whether it was resent on a new connection, because the idle one was
        // closed
        bool resent = false;
        // runs beside no other suspect
        bool suspect = false;
    };

    using state_pointer = std::shared_ptr<request_state>;

    /// @brief addresses the request to the current incarnation of the target
    /// @return whether it may run there: it names this incarnation, or an
    /// earlier one of the same service
    [[nodiscard]] bool
    address_to_current_incarnation(dispatch_request & request) const;
    [[nodiscard]] weighted_account
    weighted_account_of(dispatch_request const & request) const;
    /// @brief decides whether the request may wait for a start
    [[nodiscard]] target_admission_verdict admit(request_state & state);
    /// @brief whether the version of the target may get requests now
    [[nodiscard]] bool is_version_open() const;
    /// @brief the version that the target stated; empty while it is known from
    /// a health probe only
    [[nodiscard]] std::optional<software_version> stated_version() const;
    void record_rollout_response(request_state const & state,
                                 duration run_time,
                                 bool failed);
    void record_rollout_loss(request_state const & state);
    void start(admission_ticket ticket);
    /// @brief refuses a request that was about to start
    void abandon(admission_ticket ticket, char const * reason);
    /// @brief cancels a request that waits or runs
    void cancel(admission_ticket ticket);
    /// @brief cancels a request that has not started
    /// @return whether it was cancelled
    [[nodiscard]] bool withdraw(admission_ticket ticket);
    void
    send(admission_ticket ticket, state_pointer const & state, bool force_new);
    void handle_call_result(admission_ticket ticket, call_result result);
    void complete_request(admission_ticket ticket,
                          state_pointer const & state,
                          call_result result);
    [[nodiscard]] bool can_resend(request_state const & state,
                                  call_result const & result) const;
    void finish(admission_ticket ticket, dispatch_result result, bool failed);
    void refuse(admission_ticket ticket,
                target_admission_verdict const & verdict);
    void process_queue();
    void arm_queue_timer();
    void update_admission();
    void apply_response_head(target_response_head const & head);
    void apply_rate_limit(target_response_head const & head);
    void set_rate_limit(std::optional<double> limit, char const * source);
    /// @brief applies what another node knows of the rate that the target
    /// states, unless this node has a response of the target
    void adopt_rate_limit(dispatch_request const & request);
    /// @brief closes the target after it responded that it is leaving
    void drain(target_id const & target);
    void handle_replacement(target_id const & ended, target_state last_state);
    void handle_loss(target_status_report const & lost);
    /// @brief a target of another service stated that it is at this address
    void handle_report_of_other_target(target_status_report const & received);
    void log_identity(char const * source);
    /// @brief whether the target may have crashed; then the result is held
    /// until finish_lost_requests()
    [[nodiscard]] bool hold_lost_request(admission_ticket ticket,
                                         request_state const & state,
                                         dispatch_result const & result);
    [[nodiscard]] bool check_for_crash();
    void arm_lost_result_timer();
    void finish_lost_requests(bool crashed);
    void probe_slowdown();
    /// @brief asks the target whether it is cold, if admission needs to know
    void check_cold();
    void handle_probe(call_result const & result);

    boost::asio::io_context & io;
    gateway_settings const & settings;
    message_adapter const & adapter;
    event_log & log;
    upstream server;
    health_prober prober;
    target_crash_monitor crashes;
    start_check check_start = [](dispatch_request const &)
    {
        return static_cast<char const *>(nullptr);
    };
    bool crash_check_pending = false;

    struct lost_result
    {
        admission_ticket ticket;
        dispatch_result result;
    };

    std::vector<lost_result> lost_results;
    boost::asio::steady_timer lost_result_timer;
    target_admission_policy admission;
    target_incarnation_tracker identity;
    std::optional<service_properties> properties;
    // of accounts with a limited rate; the others have the weight 1
    absl::flat_hash_map<account_name, double> account_weights;
    // null where roll-outs are not in force
    rollout_participant * rollout = nullptr;
    bool evacuated = false;
    time_point cold_until;
    bool cold_check_pending = false;
    // after a check without an answer
    time_point next_cold_check;
    std::function<void()> entry_change_action;
    absl::flat_hash_map<admission_ticket, state_pointer> requests;
    boost::asio::steady_timer queue_timer;
    time_point last_response;
    call_route_detector calls;
    // requests per second that the target states to take
    std::optional<double> rate_limit;
    bool logged_invalid_rate_limit = false;
    // whether this process has a response of the target, or its replacement
    bool rate_limit_known = false;
};

} // namespace endivehinge::detail

#endif
