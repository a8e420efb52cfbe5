#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_CLIENT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ALLOTMENT_CLIENT_HPP

#include <cstdint>    // uint64_t
#include <functional> // function
#include <optional>   // optional

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/policy/allotment_agent.hpp>
#include <endivehinge/policy/client_account.hpp>

namespace endivehinge::detail
{

/// @brief gets tokens for the requests of accounts with an allotment, from the
/// accounts' owners or, for accounts of this node, from their ledgers
///
/// Does nothing until start() is called or such a message arrives.
/// @note thread safety: none; used on the event loop only
class allotment_client
{
public:
    using verdict_handler = std::function<void(allotment_verdict const &)>;

    explicit allotment_client(gateway_state & shared_state);

    /// @brief begins to follow the fleet view, once there are accounts
    /// @note may be called again
    void start();

    /// @brief asks for a token
    /// @param account with a limit; part of the active configuration
    /// @param patience how long the request may wait for an owner
    /// @param done called later, once, unless cancel() is called or the verdict
    /// is returned
    /// @param number identifies the request in cancel()
    /// @return the verdict, if it is known at once
    [[nodiscard]] std::optional<allotment_verdict>
    begin(client_account const & account,
          duration patience,
          verdict_handler const & done,
          std::uint64_t & number);

    /// @brief ends the wait of a request for its token
    void cancel(account_name const & account, std::uint64_t number);

    /// @brief takes back the token of a request that ran nowhere
    void put_back(account_name const & account,
                  allotment_verdict const & verdict);

    /// @brief leaves the accounts that this node owns to others, before its
    /// process ends; the messages are sent on the next turn of the event loop
    void retire();

    /// @brief answers a message of another node
    [[nodiscard]] allotment_response answer(allotment_message const & message);

    /// @brief sets the gauges
    void write_metrics();

private:
    void update_nodes();
    void poll_soon(duration delay);
    void poll();
    void send(allotment_agent::outgoing message);
    void handle_result(allotment_agent::outgoing const & sent,
                       time_point sent_at,
                       call_result const & result);
    void log_events();
    [[nodiscard]] std::optional<allotment_limits>
    limits_of(account_name const & account) const;

    gateway_state & state;
    allotment_agent agent;
    boost::asio::steady_timer timer;
    // when the timer expires; on the clock of the event loop
    std::optional<time_point> next_poll;
    std::uint64_t last_number = 0;
    absl::flat_hash_map<std::uint64_t, verdict_handler> handlers;
    // the last incarnation of the target beside this node
    std::optional<target_id> last_target;
    // of the fleet view
    std::optional<std::uint64_t> known_changes;
};

} // namespace endivehinge::detail

#endif
