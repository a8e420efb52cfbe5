#include <endivehinge/policy/allotment_ledger.hpp>

#include <algorithm> // clamp, max, min, min_element
#include <cmath>     // floor

namespace endivehinge
{
namespace
{

// absorbs rounding when whole tokens are taken from a fractional level
constexpr double rounding = 1e-6;
// from this demand on, tokens asked for in advance are almost all used (8 per
// second: 4 in the token lifetime); from less demand they are granted only
// while the bucket is half full
constexpr double reliable_demand = 8;
// an account that still finds no token is taken to exceed its allotment; longer
// than a request may wait for an owner
constexpr duration max_filling_time = std::chrono::seconds(2);

} // namespace

allotment_ledger::allotment_ledger(allotment_limits initial_limits,
                                   double initial_tokens,
                                   time_point now)
    : bounds(initial_limits)
    , level(std::min(initial_tokens, initial_limits.burst))
    , updated(now)
    , opened(now)
    , was_full(initial_tokens >= initial_limits.burst)
{
    // nothing was granted before, so that nothing can be put back
    this->current_slot = now.time_since_epoch() / room_slot;
}

void allotment_ledger::set_limits(allotment_limits new_limits, time_point now)
{
    if (new_limits == this->bounds)
    {
        return;
    }
    this->refill(now);
    this->bounds = new_limits;
    this->level = std::min(this->level, new_limits.burst);
    this->smallest_room.fill(0);
}

void allotment_ledger::refill(time_point now)
{
    if (now > this->updated)
    {
        double const passed =
            std::chrono::duration<double>(now - this->updated).count();
        this->level = std::min(this->level + this->bounds.rate * passed,
                               std::max(this->level, this->bounds.burst));
        this->updated = now;
        this->was_full = this->was_full || this->level >= this->bounds.burst;
    }
    this->move_room_slots(now);
    this->record_room();
}

void allotment_ledger::move_room_slots(time_point now)
{
    auto const slot = now.time_since_epoch() / room_slot;
    auto const passed = std::min<std::int64_t>(
        slot - this->current_slot, static_cast<std::int64_t>(room_slots));
    // without grants the room only shrinks, so that the present one is the
    // smallest of the slots that passed
    for (std::int64_t i = 0; i < passed; ++i)
    {
        this->smallest_room.at(static_cast<std::size_t>(slot - i) %
                               room_slots) = this->bounds.burst - this->level;
    }
    this->current_slot = std::max(this->current_slot, slot);
}

void allotment_ledger::record_room()
{
    auto & room = this->smallest_room.at(
        static_cast<std::size_t>(this->current_slot) % room_slots);
    room = std::min(room, this->bounds.burst - this->level);
}

bool allotment_ledger::is_filling(time_point now)
{
    this->refill(now);
    return !this->was_full && now - this->opened < max_filling_time;
}

duration allotment_ledger::next_token(time_point now)
{
    this->refill(now);
    double const missing = 1 - this->level;
    return missing <= rounding ? duration(0)
                               : std::chrono::duration_cast<duration>(
                                     std::chrono::duration<double>(
                                         missing / this->bounds.rate));
}

allotment_grant allotment_ledger::answer(allotment_ask const & ask,
                                         time_point now)
{
    this->refill(now);
    allotment_grant grant;
    grant.sequence = ask.sequence;
    grant.from_owner = true;
    if (ask.returned > 0)
    {
        this->put_back(ask.returned, now);
    }
    grant.tokens = this->grant_tokens(ask);
    if (grant.tokens < ask.needed)
    {
        grant.next_token = std::max(this->next_token(now), duration(1));
        grant.is_filling = this->is_filling(now);
    }
    return grant;
}

std::uint32_t allotment_ledger::grant_tokens(allotment_ask const & ask)
{
    auto const available = std::floor(std::max(this->level, 0.0) + rounding);
    auto const needed = std::min<double>(ask.needed, available);
    double expected = ask.wanted > ask.needed ? ask.wanted - ask.needed : 0;
    double free = available - needed;
    if (ask.demand < reliable_demand)
    {
        free -= std::floor(this->bounds.burst / 2);
    }
    expected = std::clamp(free, 0.0, expected);
    this->level -= needed + expected;
    return static_cast<std::uint32_t>(needed + expected);
}

bool allotment_ledger::try_take(time_point now)
{
    this->refill(now);
    if (this->level < 1 - rounding)
    {
        return false;
    }
    this->level -= 1;
    return true;
}

void allotment_ledger::put_back(std::uint32_t tokens, time_point now)
{
    // As if the tokens had not been granted: what the full bucket would have
    // lost since then is not put back.
    this->refill(now);
    double const room = std::max(*std::min_element(this->smallest_room.begin(),
                                                   this->smallest_room.end()),
                                 0.0);
    double const restored = std::min<double>(tokens, room);
    this->level += restored;
    for (auto & slot : this->smallest_room)
    {
        slot -= restored;
    }
}

} // namespace endivehinge
