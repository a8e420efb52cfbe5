#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_LEDGER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_LEDGER_HPP

#include <array>   // array
#include <cstdint> // int64_t, uint32_t

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_grant.hpp>
#include <endivehinge/policy/allotment_limits.hpp>
#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{

/// @brief the tokens of one account, at the account's owner
///
/// Answers the load of an account that enters through nodes of any number,
/// moves between them or exceeds its allotment several times.
/// @note pure: time is an argument and never decreases; not thread-safe, the
/// owner serialises all calls
class allotment_ledger
{
public:
    /// @param initial_tokens limited to the burst
    allotment_ledger(allotment_limits initial_limits,
                     double initial_tokens,
                     time_point now);

    /// @brief changes the limits; a lower burst takes effect at once
    void set_limits(allotment_limits new_limits, time_point now);

    /// @brief answers an ask of a node
    [[nodiscard]] allotment_grant answer(allotment_ask const & ask,
                                         time_point now);

    /// @brief takes one token for a request at the owner itself
    [[nodiscard]] bool try_take(time_point now);

    /// @brief takes back tokens that were granted within their lifetime and not
    /// used
    void put_back(std::uint32_t tokens, time_point now);

    /// @brief whether the bucket has not been full since its owner is new, so
    /// that an account within its allotment may find it empty
    [[nodiscard]] bool is_filling(time_point now);

    /// @brief time until there is a token
    [[nodiscard]] duration next_token(time_point now);

private:
    // smallest room in the bucket during a part of the token lifetime
    static constexpr std::size_t room_slots = 11;
    static constexpr duration room_slot = std::chrono::milliseconds(50);

    void refill(time_point now);
    void move_room_slots(time_point now);
    void record_room();
    [[nodiscard]] std::uint32_t grant_tokens(allotment_ask const & ask);

    allotment_limits bounds;
    double level = 0;
    time_point updated;
    time_point opened;
    bool was_full = false;
    // in each of the last slots
    std::array<double, room_slots> smallest_room{};
    std::int64_t current_slot = 0;
};

} // namespace endivehinge

#endif
