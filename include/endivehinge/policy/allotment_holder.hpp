#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_HOLDER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_HOLDER_HPP

#include <cstdint>  // uint32_t, uint64_t
#include <deque>    // deque
#include <optional> // optional

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_claim.hpp>
#include <endivehinge/policy/allotment_grant.hpp>
#include <endivehinge/policy/allotment_limits.hpp>
#include <endivehinge/policy/allotment_retry.hpp>
#include <endivehinge/policy/allotment_verdict.hpp>

namespace endivehinge
{

/// @brief the tokens and the rate right of one account, at a node that is not
/// the account's owner
///
/// Decides how many tokens to ask for and when: one for each request of an
/// account with few requests here, in advance for one with many, none for one
/// that is known to be exhausted. Without contact it uses the right.
/// @note pure: time and random numbers are arguments; not thread-safe, the
/// owner serialises all calls
class allotment_holder
{
public:
    explicit allotment_holder(allotment_limits initial_limits);

    /// @brief a lower rate lowers the right in proportion
    void set_limits(allotment_limits new_limits);

    /// @brief decides on a new request and counts it as demand
    /// @param random in [0, 1), spreads the retry times
    /// @return no value if the request has to wait for a token
    [[nodiscard]] std::optional<allotment_verdict>
    begin(time_point now, double random, std::uint32_t waiting);

    /// @brief decides on a request that waits
    /// @param may_wait whether it may wait longer
    /// @return no value if it waits longer
    [[nodiscard]] std::optional<allotment_verdict>
    decide(time_point now, double random, bool may_wait);

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

    /// @brief records that the last ask got no answer
    void record_failure();

    /// @brief records that the node that was asked is not the owner, or not
    /// yet, or has ended
    /// @param pause until the next ask
    void record_wrong_owner(time_point now, duration pause);

    /// @brief takes back the token of a request that ran nowhere
    void put_back(time_point token_expires, time_point now);

    /// @brief the valid right, for a new owner
    [[nodiscard]] allotment_claim claim(time_point now) const;

    /// @brief until when no right of the account exists, as the owner promised
    [[nodiscard]] time_point rights_free_until() const;

    /// @brief whether the owner answered the last ask
    [[nodiscard]] bool in_contact() const;

    /// @brief whether it has to be examined periodically: there is demand, or a
    /// right to give up
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
    [[nodiscard]] bool has_right(time_point now) const;
    void accrue_right(time_point now);

    allotment_limits bounds;
    std::deque<batch> tokens;
    double arrivals = 0;
    time_point last_arrival;
    std::uint64_t last_sequence = 0;
    std::uint64_t acknowledged = 0;
    bool contact = true;
    bool asked = false;
    time_point last_ask;
    // the account is taken to be exhausted until then
    time_point exhausted_until;
    // not exhausted: the owner does not know all rights yet
    bool owner_recovers = false;
    // as stated by the owner
    time_point next_token_at;
    allotment_retry retry;
    // the node that was asked does not take itself for the owner
    time_point ask_again_at;
    double granted_rate = 0;
    time_point last_grant;
    double right = 0;
    time_point right_begins;
    time_point right_expires;
    double right_level = 0;
    time_point right_updated;
    time_point rights_free;
};

} // namespace endivehinge

#endif
