#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_DISPATCH_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_DISPATCH_HPP

#include <cstdint>  // uint32_t
#include <memory>   // enable_shared_from_this, shared_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/placement_trace.hpp>
#include <endivehinge/detail/gateway/target_chooser.hpp>
#include <endivehinge/policy/account_check.hpp>
#include <endivehinge/policy/allotment_verdict.hpp>
#include <endivehinge/policy/client_credentials.hpp>
#include <endivehinge/policy/placement_limit.hpp>
#include <endivehinge/policy/request_attempts.hpp>
#include <endivehinge/policy/slow_target_rounds.hpp>

namespace endivehinge::detail
{

/// @brief dispatches one client request, from its arrival to its response
///
/// Places the request on a target, and on another one if the target refuses it.
/// Retries an idempotent request if the target fails, its outcome is unknown or
/// its node is silent; a silent attempt stays in flight, and the first answer
/// is sent. Sends exactly one response unless the client disconnects.
/// @note thread safety: none; used on the event loop only
class request_dispatch : public std::enable_shared_from_this<request_dispatch>
{
public:
    request_dispatch(gateway_state & shared_state,
                     std::shared_ptr<exchange> incoming);

    /// @brief routes the request and places it on a target
    /// @pre called once
    void start();

private:
    struct attempt
    {
        // the target and the data on which its selection was based
        target_candidate candidate;
        slow_target_action slow_action = slow_target_action::decline;
        target_runner::control control;
        std::size_t index = 0;
        time_point started_at;
        // second attempt beside one in progress
        bool hedge = false;
        bool finished = false;
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    /// @brief whether there is a configuration, confirmed if it has accounts
    [[nodiscard]] bool has_configuration() const;
    void wait_for_configuration(time_point end);
    void route_request();
    /// @brief moves the target time of a request whose client returns after a
    /// refusal: the client counts from its first attempt
    /// @param stated_time the time that the client states to be left
    void count_from_first_attempt(duration stated_time);
    [[nodiscard]] bool outlives_shutdown() const;
    /// @brief the client account of the request; empty if it has none
    [[nodiscard]] account_name name_of_account() const;
    /// @brief refuses the request if the service has no capacity for its
    /// account at present
    /// @return whether it was refused
    [[nodiscard]] bool refuse_account_share();
    /// @brief records that no target had capacity for the account
    void record_share_refusal();
    void prepare_message();
    /// @brief whether the request may run under the active configuration;
    /// refuses it otherwise. Sets its account
    [[nodiscard]] bool authenticate();
    void refuse_account(account_decision const & decision);
    // the account is known and the request was not placed yet
    void admit();
    void handle_allotment(allotment_verdict const & verdict);
    // gives back the token of a request that ran nowhere
    void release_token();
    void place();
    void start_attempt(chosen_target const & chosen, bool hedge = false);
    /// @brief starts the timer after which a second attempt is sent
    void arm_hedge();
    void send_hedge();
    /// @brief whether the request may be sent to a second target now
    /// @param chosen set to the target if so
    [[nodiscard]] hedge_limit
    choose_hedge(std::optional<chosen_target> & chosen);
    void record_hedge_result(attempt const & answered);
    void handle_result(attempt_ptr const & target_attempt,
                       dispatch_result result);
    void handle_silence(attempt_ptr const & target_attempt);
    void handle_answer(attempt_ptr const & target_attempt,
                       dispatch_result result);
    void handle_refusal(attempt_ptr const & target_attempt,
                        dispatch_result const & result);
    void handle_indeterminate(attempt_ptr const & target_attempt,
                              dispatch_result const & result);
    void record_overload(admission_refusal refusal);
    void refuse_crashing(dispatch_result const & result);
    [[nodiscard]] bool try_acquire_retry();
    // sends the last answer of a target, or a failure or refusal, unless an
    // attempt is running
    void finish_without_answer(std::string const & reason,
                               duration retry_delay);
    void arm_deadline();
    void handle_deadline();
    void handle_cancel();
    /// @brief answers the request if it cannot complete before the process ends
    void review_stop();
    /// @brief sends the last answer of a target, a failure or a refusal
    void finish_before_stop();
    /// @brief withdraws the attempts that wait for their target
    void withdraw_attempts();
    void cancel_attempts();
    void respond(response_message message, char const * outcome);
    /// @brief records a request that was not answered with success: its client
    /// may be the target beside this node, which then fails the request that
    /// made the call
    void record_failed_call(unsigned status);
    // refuses the request; the client may return after the given time and some
    // jitter
    void reject(std::string const & reason, duration wait);
    void send_refusal(std::string const & reason, duration retry_after);
    void fail(boost::beast::http::status status, std::string const & reason);
    void log_result(char const * outcome, unsigned status);

    gateway_state & state;
    std::shared_ptr<exchange> client;
    target_chooser chooser;
    fleet_view::configuration_pointer configuration;
    service_route const * route = nullptr;
    // set once the active configuration requires accounts
    std::optional<client_credentials> credentials;
    // contains the account
    fleet_view::configuration_pointer account_configuration;
    // null if the request has no account
    client_account const * account = nullptr;
    // set while the request waits for a token of its account
    std::optional<std::uint64_t> token_number;
    // set once the request has a token, with the account that it is of
    std::optional<allotment_verdict> token;
    account_name token_account;
    service_name service;
    std::string id;
    // until the client stops waiting, from the arrival of the request
    duration time_left{0};
    request_urgency urgency;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer hedge_timer;
    bool hedged = false;
    std::vector<attempt_ptr> attempts;
    slow_target_rounds placement_rounds;
    request_attempts progress;
    placement_limit placements{time_point(), duration(0)};
    // attempts during which the target crashed
    std::uint32_t crashed_targets = 0;
    std::optional<duration> min_retry_after;
    // set if a target refused the request since its account had used its share
    std::optional<duration> share_retry_after;
    std::string last_reason;
    // failure response of a target, sent if no further attempt succeeds
    std::optional<response_message> fallback_response;
    placement_trace trace;
    bool done = false;
};

} // namespace endivehinge::detail

#endif
