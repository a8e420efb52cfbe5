#include <endivehinge/policy/allotment_holder.hpp>

#include <algorithm> // clamp, max, min
#include <cmath>     // ceil, exp, floor

#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// of the averages of demand and of granted tokens; longer than the gaps of an
// account with a few requests per second
constexpr double memory_seconds = 1;
// requests per second from which tokens are asked for in advance: 4 in the
// token lifetime, so that this costs less than a message per request
constexpr double busy_demand = 8;
// requests per second from which a request's ask includes tokens for the next
// ones: more than one is expected in the token lifetime
constexpr double batch_demand = 2;
// tokens for a busy account are replaced when they last for less than half
// their lifetime
constexpr double lowest_stock_seconds = 0.25;
// at least that between asks for tokens in advance; several round trips between
// failure domains and some time for the owner's event loop
constexpr duration min_ask_interval = milliseconds(60);
// an account has left the node after so many mean gaps without a request; a
// gap of five or more occurs once in 150
constexpr double gaps_until_left = 5;
constexpr duration min_leave_time = milliseconds(50);
// of local rejections of an exhausted account until the next ask: time in which
// a quarter of the burst is refilled, within these limits. Shorter ones cost
// messages, with longer ones the full bucket loses tokens
constexpr double exhausted_burst_share = 0.25;
constexpr duration min_exhausted_time = milliseconds(10);
constexpr duration max_exhausted_time = milliseconds(100);
// between asks while requests wait for the tokens of a new owner; bounds the
// messages, and is a small part of the time in which they may wait
constexpr duration filling_pause = milliseconds(200);
// an exhausted account is asked for again after this time at the latest: its
// next token may come sooner than stated, if others return tokens
constexpr duration max_exhausted_pause = milliseconds(500);
// nodes that know no owner for a shorter time are asked again at once
constexpr duration short_owner_wait = milliseconds(250);
// the next owner is looked for at least so often
constexpr duration max_owner_pause = milliseconds(300);
constexpr duration no_contact_retry = milliseconds(100);
// another node that relays asks again within this time
constexpr duration relay_memory = milliseconds(300);

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

double decayed(double value, time_point since, time_point now)
{
    return value * std::exp(-to_seconds(now - since) / memory_seconds);
}

} // namespace

allotment_holder::allotment_holder(allotment_limits initial_limits)
    : bounds(initial_limits)
{
}

void allotment_holder::set_limits(allotment_limits new_limits)
{
    this->bounds = new_limits;
}

// ---------------------------------------------------------------------------
// demand
// ---------------------------------------------------------------------------

void allotment_holder::record_arrival(time_point now)
{
    this->arrivals = decayed(this->arrivals, this->last_arrival, now) + 1;
    this->last_arrival = now;
}

double allotment_holder::demand(time_point now) const
{
    return decayed(this->arrivals, this->last_arrival, now) / memory_seconds;
}

bool allotment_holder::is_busy(time_point now) const
{
    return this->demand(now) >= busy_demand;
}

bool allotment_holder::has_left(time_point now) const
{
    double const last_demand = std::max(this->arrivals / memory_seconds, 1.0);
    return now - this->last_arrival >
           std::max(min_leave_time, to_duration(gaps_until_left / last_demand));
}

// ---------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------

std::optional<allotment_verdict>
allotment_holder::begin(time_point now, double random, time_point last)
{
    this->record_arrival(now);
    return this->decide(now, random, last);
}

std::optional<allotment_verdict>
allotment_holder::decide(time_point now, double random, time_point last)
{
    allotment_verdict verdict;
    if (auto const expires = this->take_token(now))
    {
        verdict.token_expires = *expires;
        return verdict;
    }
    bool const may_wait = now < last;
    if (this->has_no_owner && may_wait && this->owner_expected <= last)
    {
        return std::nullopt;
    }
    if (now < this->refused_until)
    {
        verdict.outcome = this->has_no_owner ? allotment_outcome::no_contact
                                             : allotment_outcome::exhausted;
        verdict.retry_after = this->retry.next(
            now,
            this->refused_until,
            this->has_no_owner
                ? this->bounds.rate
                : decayed(this->granted_rate, this->last_grant, now),
            random);
        return verdict;
    }
    if (may_wait)
    {
        return std::nullopt;
    }
    // as many requests of the account as a new owner's rate allows were served
    // while this one waited, if the owner still answers
    bool const is_exhausted =
        this->filling &&
        now - this->last_grant < allotment_timing::token_lifetime;
    verdict.outcome = is_exhausted ? allotment_outcome::exhausted
                                   : allotment_outcome::no_contact;
    verdict.retry_after = no_contact_retry;
    return verdict;
}

bool allotment_holder::is_exhausted(time_point now) const
{
    return now < this->refused_until && !this->has_no_owner;
}

std::optional<time_point> allotment_holder::take_token(time_point now)
{
    while (!this->tokens.empty())
    {
        auto & oldest = this->tokens.front();
        if (oldest.count > 0 && oldest.expires > now)
        {
            oldest.count -= 1;
            return oldest.expires;
        }
        this->tokens.pop_front();
    }
    return std::nullopt;
}

std::uint32_t allotment_holder::token_count(time_point now) const
{
    std::uint32_t count = 0;
    for (auto const & entry : this->tokens)
    {
        count += entry.expires > now ? entry.count : 0;
    }
    return count;
}

void allotment_holder::put_back(time_point token_expires, time_point now)
{
    if (token_expires > now)
    {
        this->tokens.push_front({1, token_expires});
    }
}

// ---------------------------------------------------------------------------
// other nodes that do not reach the owner
// ---------------------------------------------------------------------------

void allotment_holder::record_relayed(std::uint32_t needed, time_point now)
{
    for (std::uint32_t i = this->relayed(now); i < needed; ++i)
    {
        this->record_arrival(now);
    }
    this->relayed_needed = needed;
    this->relayed_at = now;
}

std::uint32_t allotment_holder::relayed(time_point now) const
{
    return now - this->relayed_at <= relay_memory ? this->relayed_needed : 0;
}

std::pair<std::uint32_t, time_point>
allotment_holder::take_for_relay(std::uint32_t needed, time_point now)
{
    std::uint32_t taken = 0;
    auto expires = now + allotment_timing::token_lifetime;
    while (taken < needed)
    {
        auto const next = this->take_token(now);
        if (!next)
        {
            break;
        }
        taken += 1;
        expires = std::min(expires, *next);
    }
    this->relayed_needed -= std::min(this->relayed_needed, taken);
    return {taken, expires};
}

// ---------------------------------------------------------------------------
// asks
// ---------------------------------------------------------------------------

bool allotment_holder::wants_to_ask(time_point now, std::uint32_t waiting) const
{
    if (now < this->refused_until || now < this->ask_again_at)
    {
        return false;
    }
    if (waiting + this->relayed(now) > 0)
    {
        return true;
    }
    if (this->has_left(now))
    {
        return this->token_count(now) > 1;
    }
    bool const is_low =
        this->is_busy(now) &&
        this->token_count(now) < this->demand(now) * lowest_stock_seconds;
    return is_low && (!this->asked || now - this->last_ask >= min_ask_interval);
}

allotment_ask allotment_holder::ask(time_point now, std::uint32_t waiting)
{
    allotment_ask ask;
    ask.sequence = ++this->last_sequence;
    ask.needed = waiting + this->relayed(now);
    ask.wanted = ask.needed;
    ask.demand = this->demand(now);
    bool const leaves = ask.needed == 0 && this->has_left(now);
    double const expected =
        ask.demand * to_seconds(allotment_timing::token_lifetime);
    if (!leaves && ask.demand >= batch_demand)
    {
        double const stock = this->token_count(now);
        ask.wanted += static_cast<std::uint32_t>(
            std::max(std::floor(expected) - stock, 0.0));
    }
    if (leaves)
    {
        ask.returned = this->token_count(now);
        this->tokens.clear();
    }
    this->asked = true;
    this->last_ask = now;
    return ask;
}

void allotment_holder::record_grant(allotment_grant const & grant,
                                    time_point sent_at,
                                    time_point now)
{
    auto const expires =
        grant.remaining > duration(0)
            ? sent_at +
                  std::min(grant.remaining, allotment_timing::token_lifetime)
            : sent_at + allotment_timing::token_lifetime;
    if (grant.tokens > 0 && expires > now)
    {
        this->tokens.push_back({grant.tokens, expires});
    }
    this->granted_rate =
        decayed(this->granted_rate, this->last_grant, now) + grant.tokens;
    this->last_grant = now;
    this->filling = grant.is_filling;
    if (grant.next_token > duration(0))
    {
        auto const pause =
            std::clamp(to_duration(exhausted_burst_share * this->bounds.burst /
                                   this->bounds.rate),
                       min_exhausted_time,
                       max_exhausted_time);
        if (grant.is_filling)
        {
            // requests wait for tokens instead of being refused
            this->ask_again_at =
                now + std::max(grant.next_token, filling_pause);
            return;
        }
        this->refused_until =
            now + std::clamp(grant.next_token, pause, max_exhausted_pause);
        this->has_no_owner = false;
    }
}

void allotment_holder::record_no_owner(time_point now,
                                       duration pause,
                                       duration blocked_for)
{
    this->ask_again_at = now + pause;
    this->filling = false;
    if (blocked_for > short_owner_wait)
    {
        this->refused_until = now + std::min(blocked_for, max_owner_pause);
        this->owner_expected = now + blocked_for;
        this->has_no_owner = true;
    }
}

bool allotment_holder::is_active(time_point now) const
{
    return this->token_count(now) > 1 || this->relayed(now) > 0 ||
           !this->has_left(now);
}

bool allotment_holder::is_idle(time_point now) const
{
    return !this->is_active(now) && !this->is_exhausted(now) &&
           this->demand(now) < 1e-3;
}

} // namespace endivehinge
