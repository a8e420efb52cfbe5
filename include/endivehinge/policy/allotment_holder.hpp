#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_HOLDER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_HOLDER_HPP

#include <cstdint>  // uint32_t, uint64_t
#include <deque>    // deque
#include <optional> // optional
#include <utility>  // pair

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_grant.hpp>
#include <endivehinge/policy/allotment_limits.hpp>
#include <endivehinge/policy/allotment_retry.hpp>
#include <endivehinge/policy/allotment_verdict.hpp>

namespace endivehinge
{

/// @brief the tokens of one account, at a node that is not the account's owner
///
/// Decides how many tokens to ask for and when: one for each request of an
/// account with few requests here, in advance for one with many, none for one
/// that is known to be exhausted.
/// @note pure: time and random numbers are arguments; not thread-safe, the
/// owner serialises all calls
class allotment_holder
{
public:
    explicit allotment_holder(allotment_limits initial_limits);

    void set_limits(allotment_limits new_limits);

    /// @brief decides on a new request and counts it as demand
    /// @param random in [0, 1), spreads the retry times
    /// @param last until when the request may wait
    /// @return no value if the request has to wait for a token
    [[nodiscard]] std::optional<allotment_verdict>
    begin(time_point now, double random, time_point last);

    /// @brief decides on a request that waits
    /// @param last until when it may wait
    /// @return no value if it waits longer
    [[nodiscard]] std::optional<allotment_verdict>
    decide(time_point now, double random, time_point last);

    /// @brief whether to ask now
    /// @param waiting requests that wait for a token
    [[nodiscard]] bool wants_to_ask(time_point now,
                                    std::uint32_t waiting) const;

    /// @brief creates the next ask
    /// @pre no ask is in flight; wants_to_ask()
    [[nodiscard]] allotment_ask ask(time_point now, std::uint32_t waiting);

    /// @brief takes the grant of the last ask
    /// @param sent_at when the ask was sent
    void record_grant(allotment_grant const & grant,
                      time_point sent_at,
                      time_point now);

    /// @brief records that the node that was asked did not answer, or is not
    /// the owner
    /// @param pause until the next ask
    /// @param blocked_for for at least so long there is no owner
    void record_no_owner(time_point now, duration pause, duration blocked_for);

    /// @brief counts requests of another node, which tokens are passed on to
    void record_relayed(std::uint32_t needed, time_point now);

    /// @brief takes tokens from the stock for another node
    /// @return their number and when they expire
    [[nodiscard]] std::pair<std::uint32_t, time_point>
    take_for_relay(std::uint32_t needed, time_point now);

    /// @brief takes back the token of a request that ran nowhere
    void put_back(time_point token_expires, time_point now);

    /// @brief whether it has to be examined periodically
    [[nodiscard]] bool is_active(time_point now) const;

    /// @brief whether nothing is lost if it is discarded
    [[nodiscard]] bool is_idle(time_point now) const;

    /// @brief whether the account is known to be exhausted
    [[nodiscard]] bool is_exhausted(time_point now) const;

private:
    struct batch
    {
        std::uint32_t count = 0;
        time_point expires;
    };

    void record_arrival(time_point now);
    [[nodiscard]] double demand(time_point now) const;
    [[nodiscard]] bool is_busy(time_point now) const;
    [[nodiscard]] bool has_left(time_point now) const;
    [[nodiscard]] std::uint32_t token_count(time_point now) const;
    [[nodiscard]] std::optional<time_point> take_token(time_point now);
    [[nodiscard]] std::uint32_t relayed(time_point now) const;

    allotment_limits bounds;
    std::deque<batch> tokens;
    double arrivals = 0;
    time_point last_arrival;
    std::uint64_t last_sequence = 0;
    bool asked = false;
    time_point last_ask;
    // the account is taken to be exhausted, or without an owner, until then
    time_point refused_until;
    bool has_no_owner = false;
    // the owner was new at its last grant and had too few tokens
    bool filling = false;
    // there is none before
    time_point owner_expected;
    allotment_retry retry;
    // the node that was asked is not the owner
    time_point ask_again_at;
    double granted_rate = 0;
    time_point last_grant;
    // tokens that another node has asked for, and when
    std::uint32_t relayed_needed = 0;
    time_point relayed_at;
};

} // namespace endivehinge

#endif
