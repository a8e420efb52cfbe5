#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_LEDGER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_LEDGER_HPP

#include <array>    // array
#include <cstdint>  // uint32_t, uint64_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_claim.hpp>
#include <endivehinge/policy/allotment_grant.hpp>
#include <endivehinge/policy/allotment_limits.hpp>
#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{

/// @brief the tokens and rate rights of one account, at the account's owner
///
/// A token bucket, refilled by the rate less the rights of the nodes that may
/// be using them since they are out of contact. So the tokens and the rights in
/// use together never exceed the rate, whichever nodes are cut off or dead.
/// Answers the load of an account that enters through nodes of any number,
/// moves between them or exceeds its allotment several times.
/// @note pure: time is an argument and never decreases; not thread-safe, the
/// owner serialises all calls
class allotment_ledger
{
public:
    /// @param initial_tokens limited to the burst
    /// @param known_from when all rights that an earlier owner gave have
    /// expired. Until then the ledger refills only by the rights that nodes
    /// claim, unless record_all_heard() is called
    allotment_ledger(allotment_limits initial_limits,
                     double initial_tokens,
                     time_point now,
                     time_point known_from);

    /// @brief changes the limits; a lower burst takes effect at once
    void set_limits(allotment_limits new_limits, time_point now);

    /// @brief sets whether this node may assume that no other node acts as the
    /// owner; if not, it refills only by the rights of the nodes that it hears
    void set_confirmed(bool is_confirmed, time_point now);

    /// @brief answers an ask of a node
    /// @note an ask that arrives late, after a newer one, gets nothing
    [[nodiscard]] allotment_grant answer(allotment_process const & asker,
                                         allotment_ask const & ask,
                                         time_point now);

    /// @brief takes one token for a request at the owner itself
    [[nodiscard]] bool try_take(time_point now);

    /// @brief takes back tokens that were granted within their lifetime and not
    /// used
    void put_back(std::uint32_t tokens, time_point now);

    /// @brief records a right that an earlier owner gave, while this ledger
    /// does not know all of them
    void record_claim(allotment_process const & holder,
                      allotment_claim const & claim,
                      time_point now);

    /// @brief records that every other node has stated its right or is dead, so
    /// that no unknown right exists
    void record_all_heard(time_point now);

    /// @brief records that no right of an earlier owner is valid after a time
    void record_rights_free(time_point from, time_point now);

    /// @brief until when this ledger promised to issue no right; no value if
    /// one may exist
    [[nodiscard]] std::optional<time_point>
    promised_until(time_point now) const;

    /// @brief records that the process of a node has ended, with its right
    /// @param attempted_at when the connection was tried that was refused
    void record_ended(node_name const & node,
                      time_point attempted_at,
                      time_point now);

    /// @brief whether rights of an earlier owner may exist that are not known
    [[nodiscard]] bool is_recovering(time_point now) const;

    /// @brief as set by set_confirmed()
    [[nodiscard]] bool is_confirmed() const;

    /// @brief time until a token is available; 0 if one is
    [[nodiscard]] duration next_token(time_point now);

    /// @brief nodes with valid rights from which nothing was heard for longer
    /// than usual
    [[nodiscard]] std::vector<node_name> silent_holders(time_point now) const;

    /// @brief whether the bucket is full and no right is valid, so that a new
    /// ledger would be the same
    [[nodiscard]] bool is_idle(time_point now);

    [[nodiscard]] allotment_limits const & limits() const;

private:
    struct holder
    {
        std::uint64_t process = 0;
        std::uint64_t ended_process = 0;
        std::uint64_t last_sequence = 0;
        // of the ask with last_sequence
        time_point last_received;
        // of the latest ask whose grant the holder is known to have received;
        // it does not use its right before the silence limit has passed
        time_point contact;
        // in the grant of the ask with last_sequence
        double issued = 0;
        // the greatest right that the holder may hold
        double held = 0;
        time_point expires;
        double demand = 0;
    };

    struct claimed_right
    {
        double rate = 0;
        time_point begins;
        time_point expires;
    };

    // smallest room in the bucket during a part of the token lifetime
    static constexpr std::size_t room_slots = 11;
    static constexpr duration room_slot = std::chrono::milliseconds(50);

    void refill(time_point now);
    [[nodiscard]] double capacity(time_point now) const;
    void record_room();
    void move_room_slots(time_point now);
    [[nodiscard]] double earned_base(time_point from, time_point to) const;
    [[nodiscard]] double deducted(time_point from, time_point to) const;
    [[nodiscard]] double base_rate(time_point now) const;
    [[nodiscard]] double refill_rate(time_point now) const;
    [[nodiscard]] std::uint32_t grant_tokens(allotment_ask const & ask);
    [[nodiscard]] bool is_late(holder & entry,
                               allotment_process const & asker,
                               allotment_ask const & ask) const;
    [[nodiscard]] double
    issue_right(holder & entry, allotment_ask const & ask, time_point now);
    [[nodiscard]] bool has_rights(time_point now) const;
    [[nodiscard]] duration promise_rights_free(time_point now);
    void prune(time_point now);

    allotment_limits bounds;
    double level = 0;
    time_point updated;
    time_point known_time;
    bool confirmed = true;
    // end of the latest promise that no right exists; none is issued before
    time_point rights_from;
    // when a node last asked for a right
    time_point right_wanted;
    absl::btree_map<node_name, holder> holders;
    std::vector<claimed_right> claims;
    std::array<double, room_slots> smallest_room{};
    std::int64_t current_slot = 0;
};

} // namespace endivehinge

#endif
