#include <endivehinge/policy/allotment_ledger.hpp>

#include <algorithm> // any_of, clamp, max, min, min_element
#include <cmath>     // floor

namespace endivehinge
{
namespace
{

// of claimed rights that the bucket holds until all rights are known; two polls
// of a node that waits for tokens
constexpr double recovery_seconds = 0.1;
// absorbs rounding when whole tokens are taken from a fractional level
constexpr double rounding = 1e-6;
// right of a node in relation to its demand; covers the variation of demand
// during the validity of the right, and leaves the rest to nodes that come new
constexpr double right_per_demand = 1.25;
// after this time without an ask the demand of a node no longer counts for the
// division of the rate
constexpr duration demand_memory = std::chrono::seconds(1);
// each takes part in every calculation; bounds the time of one ask. Further
// nodes get tokens only
constexpr std::size_t max_holders = 256;
// from this demand on, tokens asked for in advance are almost all used (8 per
// second: 4 in the token lifetime); from less demand they are granted only
// while the bucket is half full
constexpr double reliable_demand = 8;
// a holder asks every 200 ms; one that has missed its time may be dead, which a
// refused connection proves before its right is deducted
constexpr duration suspicion_limit = std::chrono::milliseconds(300);
// after this time without an ask for a right, promises are extended again
constexpr duration right_wanted_memory = std::chrono::seconds(1);
// stated if the bucket is not refilled at present
constexpr duration longest_wait = std::chrono::seconds(1);

double seconds_between(time_point from, time_point to)
{
    return to > from ? std::chrono::duration<double>(to - from).count() : 0;
}

} // namespace

allotment_ledger::allotment_ledger(allotment_limits initial_limits,
                                   double initial_tokens,
                                   time_point now,
                                   time_point known_from)
    : bounds(initial_limits)
    , level(std::min(initial_tokens, initial_limits.burst))
    , updated(now)
    , known_time(known_from)
    // an earlier owner may still have promised that no right exists
    , rights_from(now + allotment_timing::takeover_time +
                  allotment_timing::rights_hold)
{
    // nothing was granted before, so that nothing can be put back
    this->current_slot = now.time_since_epoch() / room_slot;
}

allotment_limits const & allotment_ledger::limits() const
{
    return this->bounds;
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

void allotment_ledger::set_confirmed(bool is_confirmed, time_point now)
{
    this->refill(now);
    this->confirmed = is_confirmed;
}

// ---------------------------------------------------------------------------
// refill
// ---------------------------------------------------------------------------

double allotment_ledger::earned_base(time_point from, time_point to) const
{
    if (!this->confirmed)
    {
        return 0;
    }
    double earned = this->bounds.rate *
                    seconds_between(std::max(from, this->known_time), to);
    auto const unknown_end = std::min(to, this->known_time);
    double claimed = 0;
    for (auto const & claim : this->claims)
    {
        claimed +=
            claim.rate * seconds_between(std::max(from, claim.begins),
                                         std::min(unknown_end, claim.expires));
    }
    return earned +
           std::min(claimed,
                    this->bounds.rate * seconds_between(from, unknown_end));
}

double allotment_ledger::deducted(time_point from, time_point to) const
{
    double sum = 0;
    for (auto const & [node, entry] : this->holders)
    {
        sum +=
            entry.held *
            seconds_between(
                std::max(from, entry.contact + allotment_timing::silence_limit),
                std::min(to, entry.expires));
    }
    return sum;
}

double allotment_ledger::capacity(time_point now) const
{
    // The earlier owner may still have a full bucket, so that claimed rights
    // must not fill a second one.
    return now < this->known_time
               ? std::min(this->bounds.burst,
                          1 + recovery_seconds * this->base_rate(now))
               : this->bounds.burst;
}

void allotment_ledger::refill(time_point now)
{
    if (now > this->updated)
    {
        // negative if rights of a higher, earlier rate are in use
        double const earned = this->earned_base(this->updated, now) -
                              this->deducted(this->updated, now);
        double const capacity = std::max(this->level, this->capacity(now));
        this->level =
            std::clamp(this->level + earned, -this->bounds.burst, capacity);
        this->updated = now;
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

double allotment_ledger::base_rate(time_point now) const
{
    if (!this->confirmed)
    {
        return 0;
    }
    if (now >= this->known_time)
    {
        return this->bounds.rate;
    }
    double claimed = 0;
    for (auto const & claim : this->claims)
    {
        claimed += claim.begins <= now && now < claim.expires ? claim.rate : 0;
    }
    return std::min(claimed, this->bounds.rate);
}

double allotment_ledger::refill_rate(time_point now) const
{
    double rate = this->base_rate(now);
    for (auto const & [node, entry] : this->holders)
    {
        bool const is_silent =
            now >= entry.contact + allotment_timing::silence_limit;
        rate -= is_silent && now < entry.expires ? entry.held : 0;
    }
    return rate;
}

duration allotment_ledger::next_token(time_point now)
{
    this->refill(now);
    double const missing = 1 - this->level;
    if (missing <= rounding)
    {
        return duration(0);
    }
    double const rate = this->refill_rate(now);
    double const longest = std::chrono::duration<double>(longest_wait).count();
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        rate * longest > missing ? missing / rate : longest));
}

// ---------------------------------------------------------------------------
// asks
// ---------------------------------------------------------------------------

allotment_grant allotment_ledger::answer(allotment_process const & asker,
                                         allotment_ask const & ask,
                                         time_point now)
{
    this->refill(now);
    allotment_grant grant;
    grant.sequence = ask.sequence;
    grant.from_owner = true;
    grant.recovering = this->is_recovering(now);
    bool const is_known = this->holders.contains(asker.node);
    bool const has_room = this->holders.size() < max_holders;
    if (is_known || (ask.wants_right && has_room))
    {
        auto & entry = this->holders[asker.node];
        if (this->is_late(entry, asker, ask))
        {
            return grant;
        }
        grant.right = this->issue_right(entry, ask, now);
    }
    grant.rights_free = this->promise_rights_free(now);
    if (ask.returned > 0)
    {
        this->put_back(ask.returned, now);
    }
    grant.tokens = this->grant_tokens(ask);
    if (grant.tokens < ask.needed)
    {
        grant.next_token = std::max(this->next_token(now), duration(1));
    }
    this->prune(now);
    return grant;
}

bool allotment_ledger::is_late(holder & entry,
                               allotment_process const & asker,
                               allotment_ask const & ask) const
{
    if (entry.process == asker.process)
    {
        return ask.sequence <= entry.last_sequence;
    }
    if (entry.ended_process == asker.process && entry.process != 0)
    {
        return true;
    }
    // the earlier process of the node has ended, and with it its right
    auto const ended = entry.process;
    entry = holder{};
    entry.process = asker.process;
    entry.ended_process = ended;
    return false;
}

double allotment_ledger::issue_right(holder & entry,
                                     allotment_ask const & ask,
                                     time_point now)
{
    bool const is_acknowledged =
        entry.last_sequence != 0 && ask.acknowledged == entry.last_sequence;
    if (is_acknowledged)
    {
        entry.contact = entry.last_received;
        entry.held = entry.issued;
    }
    if (ask.drops_right || now >= entry.expires)
    {
        entry.held = 0;
    }
    if (entry.held == 0)
    {
        // no right can be in use before the grant of this ask arrives
        entry.contact = now;
    }
    entry.last_sequence = ask.sequence;
    entry.last_received = now;
    entry.demand = ask.demand;
    double total_demand = 0;
    double held_by_others = 0;
    for (auto const & [node, other] : this->holders)
    {
        total_demand +=
            now - other.last_received <= demand_memory ? other.demand : 0;
        held_by_others +=
            &other != &entry && now < other.expires ? other.held : 0;
    }
    double const share =
        std::min(right_per_demand * ask.demand,
                 this->bounds.rate * ask.demand / std::max(total_demand, 1e-3));
    entry.issued = std::min(share, this->base_rate(now) - held_by_others);
    if (ask.wants_right)
    {
        this->right_wanted = now;
    }
    if (!ask.wants_right || now < this->rights_from ||
        entry.issued < allotment_timing::smallest_right)
    {
        entry.issued = 0;
    }
    if (entry.issued > 0 || entry.held == 0)
    {
        entry.expires = now + allotment_timing::right_validity;
    }
    entry.held = std::max(entry.held, entry.issued);
    return entry.issued;
}

bool allotment_ledger::has_rights(time_point now) const
{
    return std::any_of(this->holders.begin(),
                       this->holders.end(),
                       [now](auto const & item)
                       {
                           return item.second.held > 0 &&
                                  now < item.second.expires;
                       });
}

duration allotment_ledger::promise_rights_free(time_point now)
{
    if (!this->confirmed || this->is_recovering(now) || this->has_rights(now))
    {
        return duration(0);
    }
    if (now - this->right_wanted >= right_wanted_memory)
    {
        this->rights_from = now + allotment_timing::rights_hold;
    }
    return std::max(this->rights_from - now, duration(0));
}

std::optional<time_point> allotment_ledger::promised_until(time_point now) const
{
    return this->confirmed && !this->is_recovering(now) &&
                   !this->has_rights(now)
               ? std::optional(this->rights_from)
               : std::nullopt;
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

// ---------------------------------------------------------------------------
// rights of earlier owners and of dead nodes
// ---------------------------------------------------------------------------

void allotment_ledger::record_claim(allotment_process const & holder_process,
                                    allotment_claim const & claim,
                                    time_point now)
{
    this->refill(now);
    if (!this->is_recovering(now) || claim.right <= 0)
    {
        return;
    }
    auto & entry = this->holders[holder_process.node];
    if (entry.held > 0)
    {
        // its right is accounted for already
        return;
    }
    entry.process = holder_process.process;
    entry.held = claim.right;
    // the earlier owner deducts the right from the time at which it begins, so
    // that this ledger neither earns nor deducts it before
    auto const begins = now + claim.begins;
    entry.contact = begins - allotment_timing::silence_limit;
    entry.last_received = now;
    entry.expires = now + claim.remaining;
    this->claims.push_back({claim.right, begins, entry.expires});
    // no promise was valid any more when this right was issued
    this->rights_from = now;
}

void allotment_ledger::record_all_heard(time_point now)
{
    this->refill(now);
    this->known_time = std::min(this->known_time, now);
    this->claims.clear();
}

void allotment_ledger::record_rights_free(time_point from, time_point now)
{
    if (from <= now)
    {
        this->record_all_heard(now);
        return;
    }
    this->refill(now);
    this->known_time = std::min(this->known_time, from);
}

void allotment_ledger::record_ended(node_name const & node,
                                    time_point attempted_at,
                                    time_point now)
{
    this->refill(now);
    auto const found = this->holders.find(node);
    // otherwise its next process was heard since
    if (found != this->holders.end() &&
        found->second.last_received < attempted_at)
    {
        this->holders.erase(found);
    }
}

bool allotment_ledger::is_confirmed() const
{
    return this->confirmed;
}

bool allotment_ledger::is_recovering(time_point now) const
{
    return now < this->known_time;
}

std::vector<node_name> allotment_ledger::silent_holders(time_point now) const
{
    std::vector<node_name> silent;
    for (auto const & [node, entry] : this->holders)
    {
        if (entry.held > 0 && now < entry.expires &&
            now - entry.last_received >= suspicion_limit)
        {
            silent.push_back(node);
        }
    }
    return silent;
}

bool allotment_ledger::is_idle(time_point now)
{
    this->refill(now);
    this->prune(now);
    return this->holders.empty() && !this->is_recovering(now) &&
           this->level >= this->bounds.burst;
}

void allotment_ledger::prune(time_point now)
{
    for (auto entry = this->holders.begin(); entry != this->holders.end();)
    {
        bool const is_unused =
            (entry->second.held == 0 || now >= entry->second.expires) &&
            now - entry->second.last_received > demand_memory;
        entry = is_unused ? this->holders.erase(entry) : std::next(entry);
    }
}

} // namespace endivehinge
