#include <endivehinge/policy/allotment_holder.hpp>

#include <algorithm> // clamp, max, min
#include <cmath>     // ceil, exp, floor

#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// of the averages of demand and of granted tokens; shorter than the validity of
// a right, longer than the gaps of an account with a few requests per second
constexpr double memory_seconds = 1;
// requests per second from which tokens are asked for in advance and a right is
// held: 4 in the token lifetime, so that both cost less than a message per
// request
constexpr double busy_demand = 8;
// a right is kept down to this demand, so that it is not dropped and taken in
// turns
constexpr double least_right_demand = 4;
// requests per second from which a request's ask includes tokens for the next
// ones: more than one is expected in the token lifetime
constexpr double batch_demand = 2;
// tokens for a busy account are replaced when they last for less than half
// their lifetime
constexpr double lowest_stock_seconds = 0.25;
// at least that between asks for tokens in advance; two round trips between
// failure domains and some time for the owner's event loop
constexpr duration min_ask_interval = milliseconds(20);
// between the asks of a holder with a right: the owner counts the contact from
// the ask before the last, so two of them are within the silence limit
constexpr duration contact_interval = milliseconds(200);
// between asks without contact
constexpr duration probe_interval = milliseconds(100);
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
// an exhausted account is asked for again after this time at the latest: its
// next token may come sooner than stated, if others return tokens or the right
// of a dead node is recovered
constexpr duration max_exhausted_pause = milliseconds(500);
// longest time for which a request waits for the next token of a right
constexpr double right_wait_seconds = 0.25;
// without a grant for this time the node is taken to be without contact,
// although other nodes answer that they are not the owner
constexpr duration wrong_owner_limit = milliseconds(200);
// limits of the retry times without contact
constexpr duration max_retry = std::chrono::seconds(1);
constexpr duration no_contact_retry = milliseconds(100);

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
    if (new_limits.rate < this->bounds.rate)
    {
        this->right *= new_limits.rate / this->bounds.rate;
    }
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
allotment_holder::begin(time_point now, double random, std::uint32_t waiting)
{
    this->record_arrival(now);
    bool const may_wait =
        this->contact || waiting < this->right * right_wait_seconds;
    return this->decide(now, random, may_wait);
}

std::optional<allotment_verdict>
allotment_holder::decide(time_point now, double random, bool may_wait)
{
    allotment_verdict verdict;
    if (auto const expires = this->take_token(now))
    {
        verdict.token_expires = *expires;
        return verdict;
    }
    if (this->is_exhausted(now))
    {
        verdict.outcome = this->owner_recovers ? allotment_outcome::no_contact
                                               : allotment_outcome::exhausted;
        verdict.retry_after =
            this->retry.next(now,
                             this->exhausted_until,
                             decayed(this->granted_rate, this->last_grant, now),
                             random);
        return verdict;
    }
    verdict.outcome = allotment_outcome::no_contact;
    verdict.retry_after = no_contact_retry;
    if (this->contact || !this->has_right(now))
    {
        return this->contact && may_wait ? std::nullopt
                                         : std::optional(verdict);
    }
    this->accrue_right(now);
    if (this->right_level >= 1)
    {
        this->right_level -= 1;
        verdict.outcome = allotment_outcome::granted;
        verdict.retry_after = duration(0);
        return verdict;
    }
    auto const wait = std::max(this->right_begins - now, duration(0)) +
                      to_duration((1 - this->right_level) / this->right);
    if (may_wait && to_seconds(wait) <= right_wait_seconds)
    {
        return std::nullopt;
    }
    verdict.retry_after = std::clamp(wait, no_contact_retry, max_retry);
    return verdict;
}

bool allotment_holder::is_exhausted(time_point now) const
{
    return now < this->exhausted_until;
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
// the right
// ---------------------------------------------------------------------------

bool allotment_holder::has_right(time_point now) const
{
    return this->right > 0 && now < this->right_expires;
}

void allotment_holder::accrue_right(time_point now)
{
    if (now > this->right_updated)
    {
        this->right_level =
            std::min(this->right_level +
                         this->right * to_seconds(now - this->right_updated),
                     this->right * to_seconds(allotment_timing::accrual_limit));
        this->right_updated = now;
    }
}

allotment_claim allotment_holder::claim(time_point now) const
{
    allotment_claim claim;
    if (this->has_right(now))
    {
        claim.right = this->right;
        claim.begins = std::max(this->right_begins - now, duration(0));
        claim.remaining = this->right_expires - now;
    }
    claim.rights_free = std::max(this->rights_free - now, duration(0));
    return claim;
}

time_point allotment_holder::rights_free_until() const
{
    return this->rights_free;
}

// ---------------------------------------------------------------------------
// asks
// ---------------------------------------------------------------------------

bool allotment_holder::wants_to_ask(time_point now, std::uint32_t waiting) const
{
    auto const since_last =
        this->asked ? now - this->last_ask : contact_interval;
    if (!this->contact)
    {
        return since_last >= probe_interval &&
               (waiting > 0 || !this->has_left(now));
    }
    if (this->is_exhausted(now) || now < this->ask_again_at)
    {
        return false;
    }
    if (waiting > 0)
    {
        return true;
    }
    if (this->has_left(now))
    {
        return this->right > 0 || this->token_count(now) > 1;
    }
    bool const is_low =
        this->is_busy(now) &&
        this->token_count(now) < this->demand(now) * lowest_stock_seconds;
    return (is_low && since_last >= min_ask_interval) ||
           (this->right > 0 && since_last >= contact_interval);
}

allotment_ask allotment_holder::ask(time_point now, std::uint32_t waiting)
{
    allotment_ask ask;
    ask.sequence = ++this->last_sequence;
    ask.acknowledged = this->acknowledged;
    ask.needed = waiting;
    ask.wanted = waiting;
    ask.demand = this->demand(now);
    bool const leaves = waiting == 0 && this->has_left(now);
    double const expected =
        ask.demand * to_seconds(allotment_timing::token_lifetime);
    if (!leaves && ask.demand >= batch_demand)
    {
        double const stock = this->token_count(now);
        ask.wanted += static_cast<std::uint32_t>(
            std::max(std::floor(expected) - stock, 0.0));
    }
    ask.wants_right =
        !leaves &&
        ask.demand >= (this->right > 0 ? least_right_demand : busy_demand);
    if (!ask.wants_right && this->right > 0)
    {
        ask.drops_right = true;
        this->right = 0;
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
    this->contact = true;
    this->owner_recovers = grant.recovering;
    this->acknowledged = grant.sequence;
    auto const expires = sent_at + allotment_timing::token_lifetime;
    if (grant.tokens > 0 && expires > now)
    {
        this->tokens.push_back({grant.tokens, expires});
    }
    this->granted_rate =
        decayed(this->granted_rate, this->last_grant, now) + grant.tokens;
    this->last_grant = now;
    this->right = grant.right;
    this->right_begins = now + allotment_timing::silence_limit;
    this->right_updated = this->right_begins;
    this->right_level = 0;
    this->right_expires = sent_at + allotment_timing::right_validity;
    this->rights_free = grant.rights_free > duration(0)
                            ? sent_at + grant.rights_free
                            : time_point();
    if (grant.next_token > duration(0))
    {
        auto const pause =
            std::clamp(to_duration(exhausted_burst_share * this->bounds.burst /
                                   this->bounds.rate),
                       min_exhausted_time,
                       max_exhausted_time);
        this->next_token_at = now + grant.next_token;
        // a holder with a right stays in contact
        this->exhausted_until =
            now + std::clamp(grant.next_token,
                             pause,
                             grant.right > 0 ? max_exhausted_time
                                             : max_exhausted_pause);
    }
}

void allotment_holder::record_failure()
{
    this->contact = false;
}

void allotment_holder::record_wrong_owner(time_point now, duration pause)
{
    this->ask_again_at = now + pause;
    if (this->right > 0 && now - this->last_grant > wrong_owner_limit)
    {
        this->contact = false;
    }
}

bool allotment_holder::in_contact() const
{
    return this->contact;
}

bool allotment_holder::is_active(time_point now) const
{
    return this->has_right(now) || this->token_count(now) > 1 ||
           !this->has_left(now);
}

bool allotment_holder::is_idle(time_point now) const
{
    return !this->is_active(now) && !this->is_exhausted(now) &&
           this->demand(now) < 1e-3;
}

} // namespace endivehinge
