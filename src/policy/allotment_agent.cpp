#include <endivehinge/policy/allotment_agent.hpp>

#include <algorithm> // any_of, find_if, max, min
#include <utility>   // exchange, move

#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// tokens in stock are replaced when they last for less than 250 ms; five polls
constexpr duration agent_poll_interval = milliseconds(50);
// a request waits no longer for a token; covers two nodes that are gone without
// a word, the election of an owner and a few asks
constexpr duration max_wait = milliseconds(400);
// the same while the votes that an owner had run out, if the request has the
// time; covers the election of the next one
constexpr duration max_owner_wait =
    allotment_timing::vote_validity + milliseconds(200);
// before the next ask if a node is not the owner; covers the election of one by
// nodes that all answer
constexpr duration no_owner_pause = milliseconds(25);
// before the owner is asked that a node has named
constexpr duration named_owner_pause = milliseconds(1);
// answers of one node without an owner that is reached, until the next node of
// the group is asked
constexpr std::size_t misses_per_node = 4;
// an account that was not refused any request for this time is available again
constexpr duration available_after = std::chrono::seconds(2);
// between examinations of unused accounts
constexpr duration maintenance_interval = milliseconds(200);
// accounts in one message; bounds its size
constexpr std::size_t max_asks = 64;
constexpr duration no_contact_retry = milliseconds(100);
// an account without refusals for want of an owner in this time is served; also
// between two lines of the log about one account
constexpr duration unserved_memory = std::chrono::seconds(1);
// an account without a request for this time is forgotten
constexpr duration account_memory = std::chrono::seconds(10);
// on the first start of a fleet nothing was granted before
constexpr duration first_start_time = std::chrono::seconds(2);
// share of the slack that a new owner has at the start. Its predecessor may
// have used up a bucket just before
constexpr double start_slack_share = 0.15;
// share of the slack by which a bucket is greater than the burst. Accounts with
// about one request per second send two or three within a second by chance, and
// tokens that are refilled between two asks are not lost to a small burst
constexpr double capacity_slack_share = 0.3;
// changes that were not logged; bounds memory
constexpr std::size_t max_events = 64;

allotment_limits with_capacity(allotment_limits limits, double slack)
{
    limits.burst += slack * capacity_slack_share;
    return limits;
}

} // namespace

allotment_agent::allotment_agent(allotment_process own_process,
                                 allotment_options chosen,
                                 limits_lookup lookup,
                                 time_point now)
    : self(std::move(own_process))
    , options(chosen)
    , started(now)
    , limits_source(std::move(lookup))
    , directory(this->self.node)
    , election(this->self, chosen.first_start, now)
{
}

duration allotment_agent::poll_interval()
{
    return agent_poll_interval;
}

void allotment_agent::set_nodes(allotment_directory::node_list const & present)
{
    this->directory.set_nodes(present);
}

void allotment_agent::set_own_departure(std::optional<target_id> const & target)
{
    this->directory.set_own_departure(target);
    if (target)
    {
        this->election.resign();
    }
}

void allotment_agent::retire(time_point now)
{
    this->election.retire(now);
    this->owned.clear();
}

std::optional<endpoint> allotment_agent::address(node_name const & node) const
{
    return this->directory.address(node);
}

allotment_counters const & allotment_agent::counters() const
{
    return this->totals;
}

std::vector<allotment_agent::event> allotment_agent::take_events()
{
    return std::exchange(this->events, {});
}

std::size_t allotment_agent::ledger_count() const
{
    return this->owned.size();
}

// ---------------------------------------------------------------------------
// owners
// ---------------------------------------------------------------------------

std::optional<node_name> allotment_agent::contact_of(
    account_name const & account, account_entry & entry, time_point now)
{
    entry.relay = false;
    if (this->election.is_owner(account, this->directory, now))
    {
        return this->self.node;
    }
    auto const stated =
        this->election.other_owner(account, this->directory, now);
    for (auto const & owner : {stated, entry.known_owner})
    {
        if (!owner || *owner == this->self.node ||
            this->directory.has_departed(*owner))
        {
            continue;
        }
        if (this->directory.is_reachable(*owner, now))
        {
            return owner;
        }
        entry.relay = true;
    }
    auto const & group = this->directory.group(account);
    auto const first = entry.misses / misses_per_node;
    for (std::size_t i = 0; i < group.size(); ++i)
    {
        auto const & node = group[(first + i) % group.size()];
        bool const is_own = node == this->self.node;
        bool const can_own = is_own && !entry.relay &&
                             !this->directory.has_own_departure() &&
                             !this->election.is_retired();
        if (can_own || (!is_own && this->directory.is_reachable(node, now)))
        {
            return node;
        }
    }
    return std::nullopt;
}

allotment_ledger * allotment_agent::open_ledger(account_name const & account,
                                                allotment_limits const & limits,
                                                time_point now)
{
    this->election.seek(account, now);
    if (!this->election.is_owner(account, this->directory, now))
    {
        this->owned.erase(account);
        return nullptr;
    }
    auto const enlarged = with_capacity(limits, this->options.slack);
    auto const since = this->election.owner_since(account);
    auto found = this->owned.find(account);
    if (found == this->owned.end() || found->second.since != since)
    {
        bool const is_first_owner = this->options.first_start &&
                                    since - this->started < first_start_time;
        // what a bucket that was empty when the last owner ended has earned
        double const earned =
            limits.rate * std::chrono::duration<double>(
                              this->election.unowned_before(account))
                              .count();
        double const tokens =
            is_first_owner ? enlarged.burst
                           : this->options.slack * start_slack_share + earned;
        found = this->owned
                    .insert_or_assign(
                        account,
                        owned_account{allotment_ledger(enlarged, tokens, now),
                                      since})
                    .first;
        this->totals.ledgers_opened += 1;
        if (this->events.size() < max_events)
        {
            this->events.push_back(
                {event::kind::ownership, account, this->self.node, {}, {}});
        }
    }
    found->second.ledger.set_limits(enlarged, now);
    return &found->second.ledger;
}

allotment_agent::account_entry &
allotment_agent::entry_of(account_name const & account,
                          allotment_limits const & limits)
{
    auto & entry = this->accounts[account];
    if (!entry)
    {
        entry = std::make_unique<account_entry>(limits);
    }
    if (!(entry->limits == limits))
    {
        entry->limits = limits;
        entry->holder.set_limits(limits);
    }
    return *entry;
}

// ---------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------

std::optional<allotment_verdict>
allotment_agent::begin(account_name const & account,
                       allotment_limits const & limits,
                       request_number request,
                       duration patience,
                       time_point now,
                       double random)
{
    auto & entry = this->entry_of(account, limits);
    entry.last_request = now;
    this->active.insert(account);
    auto const last = now + this->longest_wait(entry, patience, now);
    auto verdict = this->decide(account, entry, now, random, true, last);
    if (!verdict && exceeds_tokens(entry, last - now))
    {
        verdict = allotment_verdict{};
        verdict->outcome = allotment_outcome::exhausted;
        verdict->retry_after =
            entry.own_retry.next(now, last, entry.limits.rate, random);
    }
    if (verdict)
    {
        this->count(account, entry, *verdict, now);
        return verdict;
    }
    entry.waiting.push_back({request, last});
    return std::nullopt;
}

bool allotment_agent::exceeds_tokens(account_entry const & entry, duration wait)
{
    double const most =
        entry.limits.burst +
        entry.limits.rate * std::chrono::duration<double>(wait).count();
    return static_cast<double>(entry.waiting.size()) >= most;
}

duration allotment_agent::longest_wait(account_entry const & entry,
                                       duration patience,
                                       time_point now)
{
    // an election that takes longer lacks voters, and nothing tells when they
    // return
    bool const is_overdue =
        entry.unserved_since && now - *entry.unserved_since > max_owner_wait;
    return std::min(patience, is_overdue ? max_wait : max_owner_wait);
}

std::optional<allotment_verdict>
allotment_agent::decide(account_name const & account,
                        account_entry & entry,
                        time_point now,
                        double random,
                        bool is_new,
                        time_point last)
{
    auto const contact = this->contact_of(account, entry, now);
    if (!contact)
    {
        // no node of the group answers; they are asked again soon
        allotment_verdict verdict;
        verdict.outcome = allotment_outcome::no_contact;
        verdict.retry_after = no_contact_retry;
        return verdict;
    }
    if (*contact == this->self.node)
    {
        return this->decide_as_owner(account, entry, now, random, last);
    }
    return is_new ? entry.holder.begin(now, random, last)
                  : entry.holder.decide(now, random, last);
}

std::optional<allotment_verdict>
allotment_agent::decide_as_owner(account_name const & account,
                                 account_entry & entry,
                                 time_point now,
                                 double random,
                                 time_point last)
{
    allotment_verdict verdict;
    auto * const ledger = this->open_ledger(account, entry.limits, now);
    if (ledger == nullptr)
    {
        auto const wait = this->election.blocked_for(account, now);
        verdict.outcome = allotment_outcome::no_contact;
        verdict.retry_after =
            entry.own_retry.next(now,
                                 now + std::max(wait, no_contact_retry),
                                 entry.limits.rate,
                                 random);
        return now < last && now + wait <= last ? std::nullopt
                                                : std::optional(verdict);
    }
    if (ledger->try_take(now))
    {
        verdict.token_expires = now + allotment_timing::token_lifetime;
        return verdict;
    }
    if (ledger->is_filling(now) && now < last)
    {
        return std::nullopt;
    }
    verdict.outcome = allotment_outcome::exhausted;
    verdict.retry_after = entry.own_retry.next(
        now, now + ledger->next_token(now), entry.limits.rate, random);
    return verdict;
}

void allotment_agent::count(account_name const & account,
                            account_entry & entry,
                            allotment_verdict const & verdict,
                            time_point now)
{
    switch (verdict.outcome)
    {
    case allotment_outcome::granted:
        this->totals.granted += 1;
        entry.unserved_since.reset();
        return;
    case allotment_outcome::no_contact:
        this->totals.refused_no_contact += 1;
        entry.last_unserved = now;
        if (!entry.unserved_since)
        {
            entry.unserved_since = now;
        }
        return;
    case allotment_outcome::exhausted:
        this->totals.refused_exhausted += 1;
        entry.last_refusal = now;
        if (!entry.exhausted_logged && this->events.size() < max_events)
        {
            entry.exhausted_logged = true;
            this->events.push_back(
                {event::kind::exhausted, account, {}, {}, {}});
        }
        return;
    }
}

void allotment_agent::cancel(account_name const & account,
                             request_number request)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
    {
        return;
    }
    auto & waiting = found->second->waiting;
    auto const entry = std::find_if(waiting.begin(),
                                    waiting.end(),
                                    [request](waiting_request const & candidate)
                                    {
                                        return candidate.request == request;
                                    });
    if (entry != waiting.end())
    {
        waiting.erase(entry);
    }
}

void allotment_agent::put_back(account_name const & account,
                               allotment_verdict const & verdict,
                               time_point now)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end() || verdict.token_expires <= now)
    {
        return;
    }
    this->totals.returned += 1;
    if (auto const own = this->owned.find(account);
        own != this->owned.end() &&
        this->election.is_owner(account, this->directory, now))
    {
        own->second.ledger.put_back(1, now);
        return;
    }
    found->second->holder.put_back(verdict.token_expires, now);
}

// ---------------------------------------------------------------------------
// periodic work
// ---------------------------------------------------------------------------

bool allotment_agent::is_active(time_point now) const
{
    return !this->active.empty() || !this->owned.empty() ||
           this->election.is_active(now);
}

allotment_agent::actions allotment_agent::poll(time_point now, double random)
{
    actions todo;
    for (auto const & account : this->active)
    {
        this->decide_waiting(
            account, *this->accounts.at(account), now, random, todo);
    }
    this->add_asks(now, todo);
    this->add_ballots(now, todo);
    this->add_probes(todo);
    if (now >= this->next_maintenance)
    {
        this->next_maintenance = now + maintenance_interval;
        this->discard_idle(now);
    }
    this->totals.messages += todo.messages.size();
    return todo;
}

void allotment_agent::decide_waiting(account_name const & account,
                                     account_entry & entry,
                                     time_point now,
                                     double random,
                                     actions & todo)
{
    std::deque<waiting_request> remaining;
    for (auto const & waiting : entry.waiting)
    {
        // behind one that waits on, there is no token for another
        auto const verdict =
            remaining.empty() || now >= waiting.last
                ? this->decide(account, entry, now, random, false, waiting.last)
                : std::nullopt;
        if (!verdict)
        {
            remaining.push_back(waiting);
            continue;
        }
        this->count(account, entry, *verdict, now);
        todo.decisions.push_back({waiting.request, account, *verdict});
    }
    entry.waiting.swap(remaining);
}

void allotment_agent::add_asks(time_point now, actions & todo)
{
    absl::btree_map<node_name, std::size_t> message_of;
    for (auto const & account : this->active)
    {
        auto & entry = *this->accounts.at(account);
        auto const owner = this->contact_of(account, entry, now);
        auto const waiting = static_cast<std::uint32_t>(entry.waiting.size());
        if (!owner || *owner == this->self.node || entry.in_flight ||
            this->busy_links.contains(*owner) ||
            !entry.holder.wants_to_ask(now, waiting))
        {
            continue;
        }
        auto const [position, is_new] =
            message_of.try_emplace(*owner, todo.messages.size());
        if (is_new)
        {
            todo.messages.push_back({*owner, this->new_message()});
        }
        auto & message = todo.messages[position->second].message;
        if (message.asks.size() < max_asks)
        {
            auto ask = entry.holder.ask(now, waiting);
            ask.relay = entry.relay;
            entry.in_flight = true;
            this->totals.asks += 1;
            this->totals.returned += ask.returned;
            message.asks.emplace_back(account, ask);
        }
    }
    for (auto const & [node, position] : message_of)
    {
        this->busy_links.insert(node);
    }
}

void allotment_agent::add_ballots(time_point now, actions & todo)
{
    for (auto & ballot : this->election.due_ballots(this->directory, now))
    {
        auto message = this->new_message();
        message.vote_requests = std::move(ballot.requests);
        todo.messages.push_back({ballot.node, std::move(message)});
    }
}

void allotment_agent::add_probes(actions & todo)
{
    for (auto & node : this->election.take_doubted())
    {
        if (this->probed.insert(node).second)
        {
            todo.messages.push_back({std::move(node), this->new_message()});
        }
    }
}

allotment_message allotment_agent::new_message() const
{
    allotment_message message;
    message.from = this->self;
    message.departures = this->directory.departures();
    return message;
}

void allotment_agent::discard_idle(time_point now)
{
    this->election.discard_idle(now);
    for (auto item = this->owned.begin(); item != this->owned.end();)
    {
        item = this->election.is_owner(item->first, this->directory, now)
                   ? std::next(item)
                   : this->owned.erase(item);
    }
    for (auto item = this->accounts.begin(); item != this->accounts.end();)
    {
        auto & entry = *item->second;
        this->report_unserved(item->first, entry, now);
        if (entry.exhausted_logged &&
            now - entry.last_refusal > available_after)
        {
            entry.exhausted_logged = false;
            this->events.push_back(
                {event::kind::available, item->first, {}, {}, {}});
        }
        bool const is_examined = !entry.waiting.empty() || entry.in_flight ||
                                 entry.exhausted_logged ||
                                 entry.holder.is_active(now);
        if (!is_examined)
        {
            this->active.erase(item->first);
        }
        item = !is_examined && now - entry.last_request > account_memory
                   ? this->accounts.erase(item)
                   : std::next(item);
    }
}

// ---------------------------------------------------------------------------
// accounts without an owner
// ---------------------------------------------------------------------------

void allotment_agent::report_unserved(account_name const & account,
                                      account_entry & entry,
                                      time_point now)
{
    if (entry.unserved_since && now - entry.last_unserved > unserved_memory)
    {
        entry.unserved_since.reset();
    }
    if (!entry.unserved_since ||
        now - entry.unserved_logged < unserved_memory ||
        this->events.size() >= max_events)
    {
        return;
    }
    entry.unserved_logged = now;
    this->events.push_back(
        {event::kind::unserved,
         account,
         this->contact_of(account, entry, now).value_or(node_name()),
         now - *entry.unserved_since,
         this->reason_unserved(account, entry, now)});
}

std::string allotment_agent::reason_unserved(account_name const & account,
                                             account_entry & entry,
                                             time_point now)
{
    auto const contact = this->contact_of(account, entry, now);
    if (!contact)
    {
        return "no node of its group answers";
    }
    if (*contact == this->self.node)
    {
        return this->election.reason(account, this->directory, now);
    }
    return entry.relay ? "this node does not reach the owner"
                       : "the node grants nothing";
}

allotment_agent::unserved_accounts
allotment_agent::unserved(time_point now) const
{
    unserved_accounts result;
    for (auto const & [account, entry] : this->accounts)
    {
        if (entry->unserved_since &&
            now - entry->last_unserved <= unserved_memory)
        {
            result.count += 1;
            result.oldest =
                std::max(result.oldest, now - *entry->unserved_since);
        }
    }
    return result;
}

// ---------------------------------------------------------------------------
// messages
// ---------------------------------------------------------------------------

allotment_response allotment_agent::answer(allotment_message const & message,
                                           time_point now)
{
    this->directory.record_process(message.from);
    this->record_departures(message.from.node, message.departures, now);
    allotment_response response;
    response.from = this->self;
    response.departures = this->directory.departures();
    for (auto const & request : message.vote_requests)
    {
        if (request.is_return)
        {
            this->election.take_back(request, message.from, now);
            continue;
        }
        response.votes.emplace_back(
            request.account,
            this->election.vote(request, message.from, this->directory, now));
    }
    for (auto const & [account, ask] : message.asks)
    {
        response.grants.emplace_back(
            account, this->answer_ask(message.from, account, ask, now));
    }
    return response;
}

void allotment_agent::record_departures(
    node_name const & from,
    std::vector<allotment_departure> const & departures,
    time_point now)
{
    bool const has_departed = std::any_of(departures.begin(),
                                          departures.end(),
                                          [&from](auto const & departure)
                                          {
                                              return departure.node == from;
                                          });
    if (!has_departed)
    {
        this->directory.record_return(from);
    }
    for (auto const & departure : departures)
    {
        bool const is_new = this->directory.record_departure(departure, now);
        if (is_new && this->events.size() < max_events)
        {
            this->events.push_back(
                {event::kind::owner_departed, {}, departure.node, {}, {}});
        }
    }
}

allotment_grant allotment_agent::answer_ask(allotment_process const & from,
                                            account_name const & account,
                                            allotment_ask const & ask,
                                            time_point now)
{
    allotment_grant grant;
    grant.sequence = ask.sequence;
    auto const limits = this->limits_source(account);
    if (!limits)
    {
        return grant;
    }
    auto const other =
        this->election.is_owner(account, this->directory, now)
            ? std::nullopt
            : this->election.other_owner(account, this->directory, now);
    bool const is_reached = other && this->directory.is_reachable(*other, now);
    if (!is_reached)
    {
        if (auto * const ledger = this->open_ledger(account, *limits, now))
        {
            return ledger->answer(ask, now);
        }
    }
    if (is_reached && *other != from.node)
    {
        grant.owner = other;
    }
    if (ask.relay && other)
    {
        this->election.doubt(*other);
    }
    if (ask.relay && is_reached)
    {
        this->relay(account, *limits, ask, grant, now);
    }
    else if (!is_reached)
    {
        grant.next_token = this->election.blocked_for(account, now);
    }
    return grant;
}

void allotment_agent::relay(account_name const & account,
                            allotment_limits const & limits,
                            allotment_ask const & ask,
                            allotment_grant & grant,
                            time_point now)
{
    auto & entry = this->entry_of(account, limits);
    entry.last_request = now;
    this->active.insert(account);
    entry.holder.record_relayed(ask.needed, now);
    auto const [tokens, expires] = entry.holder.take_for_relay(ask.needed, now);
    grant.tokens = tokens;
    grant.remaining = expires - now;
}

void allotment_agent::record_response(outgoing const & sent,
                                      allotment_response const & response,
                                      time_point sent_at,
                                      time_point now)
{
    if (response.from.node != sent.to)
    {
        // another node has the address now; it answers for itself only
        this->record_failure(sent, false, sent_at, now);
        return;
    }
    this->directory.record_process(response.from);
    this->directory.record_answer(sent.to);
    this->record_departures(sent.to, response.departures, now);
    this->probed.erase(sent.to);
    if (!sent.message.asks.empty())
    {
        this->busy_links.erase(sent.to);
        this->note_contact(sent.to, true);
    }
    for (std::size_t i = 0; i < sent.message.asks.size(); ++i)
    {
        auto const & [account, ask] = sent.message.asks[i];
        bool const is_valid =
            i < response.grants.size() && response.grants[i].first == account &&
            response.grants[i].second.sequence == ask.sequence;
        this->record_grant(account,
                           is_valid ? response.grants[i].second
                                    : allotment_grant(),
                           sent.to,
                           sent_at,
                           now);
    }
    std::size_t next = 0;
    for (auto const & request : sent.message.vote_requests)
    {
        if (request.is_return)
        {
            continue;
        }
        bool const is_valid = next < response.votes.size() &&
                              response.votes[next].first == request.account;
        this->election.record_vote(request.account,
                                   sent.to,
                                   is_valid ? response.votes[next].second
                                            : allotment_vote(),
                                   this->directory,
                                   sent_at,
                                   now);
        next += 1;
    }
}

void allotment_agent::record_grant(account_name const & account,
                                   allotment_grant const & grant,
                                   node_name const & from,
                                   time_point sent_at,
                                   time_point now)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
    {
        return;
    }
    auto & entry = *found->second;
    entry.in_flight = false;
    if (grant.from_owner || grant.tokens > 0)
    {
        entry.misses = 0;
        if (grant.from_owner)
        {
            entry.known_owner = from;
        }
        entry.holder.record_grant(grant, sent_at, now);
        return;
    }
    bool const is_named = grant.owner && *grant.owner != entry.known_owner &&
                          this->directory.is_reachable(*grant.owner, now);
    entry.misses += is_named ? 0 : 1;
    if (is_named || entry.known_owner == from)
    {
        entry.known_owner = grant.owner;
    }
    entry.holder.record_no_owner(
        now, is_named ? named_owner_pause : no_owner_pause, grant.next_token);
}

void allotment_agent::record_failure(outgoing const & sent,
                                     bool refused,
                                     time_point sent_at,
                                     time_point now)
{
    this->totals.failed_messages += 1;
    this->probed.erase(sent.to);
    if (refused)
    {
        this->directory.record_refused(sent.to, now);
    }
    else
    {
        this->directory.record_silence(sent.to, sent_at, now);
    }
    if (!sent.message.asks.empty())
    {
        this->busy_links.erase(sent.to);
        this->note_contact(sent.to, false);
    }
    for (auto const & [account, ask] : sent.message.asks)
    {
        if (auto const found = this->accounts.find(account);
            found != this->accounts.end())
        {
            // another node is asked at once
            found->second->in_flight = false;
        }
    }
    for (auto const & request : sent.message.vote_requests)
    {
        if (!request.is_return)
        {
            this->election.record_failure(request.account, sent.to, now);
        }
    }
}

void allotment_agent::note_contact(node_name const & node, bool reached)
{
    bool const changed = reached ? this->lost_owners.erase(node) > 0
                                 : this->lost_owners.insert(node).second;
    if (changed && this->events.size() < max_events)
    {
        this->events.push_back(
            {reached ? event::kind::owner_regained : event::kind::owner_lost,
             {},
             node,
             {},
             {}});
    }
}

} // namespace endivehinge
