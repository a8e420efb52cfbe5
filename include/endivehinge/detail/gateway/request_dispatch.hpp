#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_DISPATCH_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_DISPATCH_HPP

#include <memory>   // enable_shared_from_this, shared_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/placement_trace.hpp>
#include <endivehinge/detail/gateway/target_chooser.hpp>
#include <endivehinge/policy/slow_target_rounds.hpp>

namespace endivehinge::detail
{

/// @brief one request of a client, from its arrival to its response
///
/// Places the request, places it again where a target refused it, and sends an
/// idempotent one again where its outcome is not known. Ends with one response
/// unless the client leaves.
/// @note thread safety: none; used on the event loop only
class request_dispatch : public std::enable_shared_from_this<request_dispatch>
{
public:
    request_dispatch(gateway_state & shared,
                     std::shared_ptr<exchange> incoming);

    /// @brief begins
    /// @pre called once
    void start();

private:
    // one placement on one target
    struct attempt
    {
        // the target, and what its choice was based on
        target_candidate known;
        slow_target_action slow_target = slow_target_action::decline;
        target_runner::cancel_action cancel;
        bool finished = false;
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    [[nodiscard]] bool outlasts_process() const;
    void prepare_message();
    void place();
    void run_on(chosen_target const & chosen);
    void ended(attempt_pointer const & one, dispatch_result result);
    void answered(attempt_pointer const & one, dispatch_result result);
    void refused(attempt_pointer const & one, dispatch_result const & result);
    void indeterminate(attempt_pointer const & one,
                       dispatch_result const & result);
    [[nodiscard]] bool may_repeat();
    void arm_deadline();
    void deadline_passed();
    void cancelled();
    void cancel_attempts();
    void respond(response_message message, char const * outcome);
    void reject(std::string const & reason, duration wait);
    void fail(boost::beast::http::status status, std::string const & reason);
    void log_end(char const * outcome, unsigned status);

    gateway_state & state;
    std::shared_ptr<exchange> client;
    target_chooser chooser;
    fleet_view::configuration_pointer configuration;
    service_route const * route = nullptr;
    service_name service;
    std::string id;
    request_urgency urgency;
    boost::asio::steady_timer deadline_timer;
    std::vector<attempt_pointer> attempts;
    slow_target_rounds rounds;
    // the outcome at some target is not known
    bool may_have_run = false;
    std::uint32_t arrivals = 0;
    std::uint32_t placements = 0;
    std::optional<duration> shortest_wait;
    std::string last_reason;
    // a target's failure response, kept while another target is tried
    std::optional<response_message> fallback;
    placement_trace story;
    bool done = false;
};

} // namespace endivehinge::detail

#endif
