#include <endivehinge/policy/allotment_agent.hpp>

#include <algorithm> // any_of, find_if, max, min

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// an ask of a holder with a right is due every 200 ms; four polls for each
constexpr duration agent_poll_interval = milliseconds(50);
// a request waits no longer for a token; covers the takeover of an account by
// the next owner (100 ms) and a few asks
constexpr duration max_wait = milliseconds(250);
// before the next ask if a node is not the owner or does not know all rights
// yet; views differ for some hundred milliseconds after a change
constexpr duration wrong_owner_pause = milliseconds(25);
// an account that was not refused any request for this time is available again
constexpr duration available_after = std::chrono::seconds(2);
// between examinations of silent holders and unused accounts
constexpr duration maintenance_interval = milliseconds(200);
// accounts in one message; bounds its size
constexpr std::size_t max_asks = 64;
// the choice of an owner is calculated again after this time, since proofs that
// a process has ended expire
constexpr duration owner_cache_time = milliseconds(50);
constexpr duration no_contact_retry = milliseconds(100);
// an account without refusals for want of an owner in this time is served; also
// between two lines of the log about one account
constexpr duration unserved_memory = std::chrono::seconds(1);
// an account without a request for this time is forgotten
constexpr duration account_memory = std::chrono::seconds(10);
// without contact to the store, a node that reached less than half of the
// others in this time is taken to be cut off, so that another node may own its
// accounts
constexpr duration outcome_memory = std::chrono::seconds(2);
// age of the knowledge of the store from which it tries to reach others, so
// that the result is known when a right's validity has passed
constexpr duration probe_age = std::chrono::seconds(3);
// nodes that it tries to reach in each maintenance interval; 20 a second
constexpr std::size_t probed_nodes = 4;
// changes that were not logged; bounds memory
constexpr std::size_t max_events = 64;

} // namespace

allotment_agent::allotment_agent(allotment_process own_process,
                                 allotment_book_options options,
                                 limits_lookup lookup,
                                 time_point now)
    : self(std::move(own_process))
    , limits_source(std::move(lookup))
    , directory(this->self.node, now)
    , book(options, now)
    , last_check(now)
{
}

duration allotment_agent::poll_interval()
{
    return agent_poll_interval;
}

void allotment_agent::set_nodes(allotment_directory::node_list const & present,
                                time_point now)
{
    this->directory.set_nodes(present, now);
    this->generation += 1;
}

void allotment_agent::set_own_departure(std::optional<target_id> const & target)
{
    this->directory.set_own_departure(target);
    this->generation += 1;
}

void allotment_agent::set_store_age(duration age, time_point now)
{
    this->store_age = age;
    bool const was_isolated = this->isolated;
    this->isolated = age >= allotment_timing::right_validity &&
                     !this->reaches_most_nodes(now);
    // a process that was paused does not know whether it was cut off
    bool const was_paused =
        now - this->last_check >= allotment_timing::right_validity;
    this->last_check = now;
    if (was_paused || (was_isolated && !this->isolated))
    {
        // others may have owned its accounts meanwhile
        this->directory.restart(now);
        this->generation += 1;
    }
    this->book.set_confirmed(!this->isolated, now);
}

bool allotment_agent::reaches_most_nodes(time_point now) const
{
    std::size_t reached = 0;
    std::size_t missed = 0;
    for (auto const & [node, outcome] : this->outcomes)
    {
        auto const & [when, was_reached] = outcome;
        bool const is_recent = now - when <= outcome_memory;
        reached += is_recent && was_reached ? 1 : 0;
        missed += is_recent && !was_reached ? 1 : 0;
    }
    return reached > missed;
}

void allotment_agent::record_outcome(node_name const & node,
                                     bool reached,
                                     time_point now)
{
    this->outcomes[node] = {now, reached};
}

void allotment_agent::add_probes(time_point now, actions & todo)
{
    if (this->store_age < probe_age || this->book.size() == 0)
    {
        return;
    }
    auto const others = this->directory.other_nodes();
    for (std::size_t i = 0; i < std::min(others.size(), probed_nodes); ++i)
    {
        this->next_probed = (this->next_probed + 1) % others.size();
        todo.messages.push_back(
            {others[this->next_probed], this->new_message(now)});
    }
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
    return this->book.size();
}

// ---------------------------------------------------------------------------
// owners
// ---------------------------------------------------------------------------

std::optional<node_name> const & allotment_agent::owner_of(
    account_name const & account, account_entry & entry, time_point now)
{
    if (entry.owner_generation != this->generation ||
        now >= entry.owner_valid_until)
    {
        entry.owner = this->directory.owner(account, now);
        entry.owner_generation = this->generation;
        entry.owner_valid_until = now + owner_cache_time;
    }
    return entry.owner;
}

std::optional<node_name>
allotment_agent::owner_of_any(account_name const & account, time_point now)
{
    auto const found = this->accounts.find(account);
    return found == this->accounts.end()
               ? this->directory.owner(account, now)
               : this->owner_of(account, *found->second, now);
}

allotment_ledger * allotment_agent::open_ledger(account_name const & account,
                                                allotment_limits const & limits,
                                                time_point now)
{
    auto const before = this->book.opened_count();
    auto const found = this->accounts.find(account);
    auto const promise = found == this->accounts.end()
                             ? time_point()
                             : found->second->holder.rights_free_until();
    auto * const ledger =
        this->book.open(account,
                        limits,
                        this->directory.owner_since(account, now),
                        promise,
                        this->directory,
                        now);
    if (this->book.opened_count() != before)
    {
        this->totals.ledgers_opened += 1;
        if (this->events.size() < max_events)
        {
            this->events.push_back(
                {event::kind::ownership, account, this->self.node, {}, {}});
        }
    }
    return ledger;
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
                       time_point now,
                       double random)
{
    auto & entry = this->entry_of(account, limits);
    entry.last_request = now;
    this->active.insert(account);
    auto const verdict = this->decide(account, entry, now, random, true, true);
    if (verdict)
    {
        this->count(account, entry, *verdict, now);
        return verdict;
    }
    entry.waiting.push_back({request, now});
    return std::nullopt;
}

std::optional<allotment_verdict>
allotment_agent::decide(account_name const & account,
                        account_entry & entry,
                        time_point now,
                        double random,
                        bool is_new,
                        bool may_wait)
{
    auto const & owner = this->owner_of(account, entry, now);
    if (!owner)
    {
        allotment_verdict verdict;
        verdict.outcome = allotment_outcome::no_contact;
        verdict.retry_after = no_contact_retry;
        return may_wait ? std::nullopt : std::optional(verdict);
    }
    if (*owner == this->self.node)
    {
        return this->decide_as_owner(account, entry, now, random, may_wait);
    }
    if (is_new)
    {
        return entry.holder.begin(
            now, random, static_cast<std::uint32_t>(entry.waiting.size()));
    }
    return entry.holder.decide(now, random, may_wait);
}

std::optional<allotment_verdict>
allotment_agent::decide_as_owner(account_name const & account,
                                 account_entry & entry,
                                 time_point now,
                                 double random,
                                 bool may_wait)
{
    allotment_verdict verdict;
    auto * const ledger = this->open_ledger(account, entry.limits, now);
    if (ledger == nullptr)
    {
        verdict.outcome = allotment_outcome::no_contact;
        verdict.retry_after = no_contact_retry;
        return may_wait ? std::nullopt : std::optional(verdict);
    }
    if (ledger->try_take(now))
    {
        verdict.token_expires = now + allotment_timing::token_lifetime;
        return verdict;
    }
    bool const knows_all =
        ledger->is_confirmed() && !ledger->is_recovering(now);
    verdict.outcome = knows_all ? allotment_outcome::exhausted
                                : allotment_outcome::no_contact;
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
    auto & entry = *found->second;
    auto const & owner = this->owner_of(account, entry, now);
    if (owner && *owner == this->self.node)
    {
        if (auto * const ledger = this->open_ledger(account, entry.limits, now))
        {
            ledger->put_back(1, now);
        }
        return;
    }
    entry.holder.put_back(verdict.token_expires, now);
}

// ---------------------------------------------------------------------------
// periodic work
// ---------------------------------------------------------------------------

bool allotment_agent::is_active(time_point now) const
{
    return !this->active.empty() || this->book.is_recovering(now) ||
           this->book.size() > 0;
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
    this->add_questions(now, todo);
    if (now >= this->next_maintenance)
    {
        this->next_maintenance = now + maintenance_interval;
        for (auto const & node : this->book.silent_holders(now))
        {
            todo.messages.push_back({node, this->new_message(now)});
        }
        this->add_probes(now, todo);
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
    while (!entry.waiting.empty())
    {
        auto const first = entry.waiting.front();
        bool const may_wait = now - first.since < max_wait;
        auto const verdict =
            this->decide(account, entry, now, random, false, may_wait);
        if (!verdict)
        {
            return;
        }
        entry.waiting.pop_front();
        this->count(account, entry, *verdict, now);
        todo.decisions.push_back({first.request, account, *verdict});
    }
}

void allotment_agent::add_asks(time_point now, actions & todo)
{
    absl::btree_map<node_name, std::size_t> message_of;
    for (auto const & account : this->active)
    {
        auto & entry = *this->accounts.at(account);
        auto const & owner = this->owner_of(account, entry, now);
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
            todo.messages.push_back({*owner, this->new_message(now)});
        }
        auto & message = todo.messages[position->second].message;
        if (message.asks.size() < max_asks)
        {
            auto const ask = entry.holder.ask(now, waiting);
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

void allotment_agent::add_questions(time_point now, actions & todo)
{
    for (auto & question : this->book.due_questions(now))
    {
        auto message = this->new_message(now);
        message.questions = std::move(question.accounts);
        todo.messages.push_back({question.node, std::move(message)});
    }
}

allotment_message allotment_agent::new_message(time_point now) const
{
    allotment_message message;
    message.from = this->self;
    message.ended = this->directory.ended_nodes(now);
    message.departures = this->directory.departures();
    return message;
}

void allotment_agent::discard_idle(time_point now)
{
    this->book.discard_idle(now);
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
         this->owner_of(account, entry, now).value_or(node_name()),
         now - *entry.unserved_since,
         this->reason_unserved(account, entry, now)});
}

std::string allotment_agent::reason_unserved(account_name const & account,
                                             account_entry & entry,
                                             time_point now)
{
    auto const & owner = this->owner_of(account, entry, now);
    if (!owner)
    {
        return "no node is known";
    }
    if (*owner == this->self.node)
    {
        return this->isolated ? "isolated" : this->book.reason(account, now);
    }
    return entry.holder.in_contact() ? "the owner grants nothing"
                                     : "the owner does not answer";
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
    this->generation +=
        this->directory.record_alive(message.from.node, now) ? 1 : 0;
    this->record_departures(message.from.node, message.departures, now);
    for (auto const & ended : message.ended)
    {
        bool const is_new =
            this->directory.record_ended(ended.node, ended.remaining, now);
        this->generation += is_new ? 1 : 0;
    }
    allotment_response response;
    response.from = this->self;
    response.departures = this->directory.departures();
    for (auto const & [account, ask] : message.asks)
    {
        response.grants.emplace_back(
            account, this->answer_ask(message.from, account, ask, now));
    }
    for (auto const & account : message.questions)
    {
        response.claims.emplace_back(
            account, this->answer_question(message.from.node, account, now));
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
        this->generation += this->directory.record_return(from, now) ? 1 : 0;
    }
    for (auto const & departure : departures)
    {
        bool const is_new = this->directory.record_departure(departure, now);
        this->generation += is_new ? 1 : 0;
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
    allotment_grant refusal;
    refusal.sequence = ask.sequence;
    auto const limits = this->limits_source(account);
    auto const owner = this->owner_of_any(account, now);
    if (!limits || !owner || *owner != this->self.node)
    {
        return refusal;
    }
    auto * const ledger = this->open_ledger(account, *limits, now);
    return ledger == nullptr || !ledger->is_confirmed()
               ? refusal
               : ledger->answer(from, ask, now);
}

allotment_claim allotment_agent::answer_question(node_name const & from,
                                                 account_name const & account,
                                                 time_point now)
{
    allotment_claim claim;
    auto const owner = this->owner_of_any(account, now);
    if (!owner || *owner != from)
    {
        return claim;
    }
    this->book.close(account);
    if (auto const found = this->accounts.find(account);
        found != this->accounts.end())
    {
        claim = found->second->holder.claim(now);
    }
    claim.agrees = true;
    return claim;
}

void allotment_agent::record_response(outgoing const & sent,
                                      allotment_response const & response,
                                      time_point sent_at,
                                      time_point now)
{
    this->generation += this->directory.record_alive(sent.to, now) ? 1 : 0;
    this->record_departures(sent.to, response.departures, now);
    this->record_outcome(sent.to, true, now);
    if (!sent.message.asks.empty())
    {
        this->busy_links.erase(sent.to);
        this->note_contact(sent.to, true);
    }
    for (std::size_t i = 0; i < sent.message.asks.size(); ++i)
    {
        auto const & [account, ask] = sent.message.asks[i];
        auto const found = this->accounts.find(account);
        if (found == this->accounts.end())
        {
            continue;
        }
        auto & entry = *found->second;
        entry.in_flight = false;
        bool const is_valid =
            i < response.grants.size() && response.grants[i].first == account &&
            response.grants[i].second.from_owner &&
            response.grants[i].second.sequence == ask.sequence &&
            this->owner_of(account, entry, now) == sent.to;
        if (is_valid)
        {
            entry.holder.record_grant(response.grants[i].second, sent_at, now);
        }
        else
        {
            // a grant of a node that is no longer the owner is discarded: the
            // new owner may have been told that this node holds no right
            entry.holder.record_wrong_owner(now, wrong_owner_pause);
        }
    }
    for (auto const & [account, claim] : response.claims)
    {
        this->book.record_claim(account, response.from, claim, sent_at, now);
    }
}

void allotment_agent::record_failure(outgoing const & sent,
                                     bool refused,
                                     time_point sent_at,
                                     time_point now)
{
    this->totals.failed_messages += 1;
    this->record_outcome(sent.to, refused, now);
    if (refused)
    {
        bool const is_new = this->directory.record_refused(sent.to, now);
        this->generation += is_new ? 1 : 0;
        this->book.record_ended(sent.to, sent_at, now);
    }
    if (!sent.message.asks.empty())
    {
        this->busy_links.erase(sent.to);
        this->note_contact(sent.to, false);
    }
    for (auto const & [account, ask] : sent.message.asks)
    {
        auto const found = this->accounts.find(account);
        if (found == this->accounts.end())
        {
            continue;
        }
        found->second->in_flight = false;
        if (refused)
        {
            // the next owner is asked at once
            found->second->holder.record_wrong_owner(now, duration(0));
        }
        else
        {
            found->second->holder.record_failure();
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
