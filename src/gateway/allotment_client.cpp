#include <endivehinge/detail/gateway/allotment_client.hpp>

#include <algorithm> // min
#include <utility>   // move

#include <endivehinge/core/boot_clock.hpp>
#include <endivehinge/detail/gateway/allotment_exchange.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

// several round trips between failure domains (0.5 to 3.9 ms) and the pauses of
// an event loop that has a tenth of a core
constexpr duration ask_timeout = milliseconds(80);
// a fifth of the validity of a vote
constexpr duration vote_timeout = milliseconds(200);
// asks to one owner within this time are sent as one; shorter than a round trip
constexpr duration combining_time = milliseconds(2);
// without requests
constexpr duration idle_poll_interval = std::chrono::seconds(1);

// the decisions about allotments use it for all times, since their permissions
// expire; not comparable with loop_now()
time_point now_with_suspension()
{
    return time_point(boot_clock::now().time_since_epoch());
}

allotment_options options_of(gateway_settings const & settings)
{
    return {settings.accounts.overage_slack, settings.first_start};
}

} // namespace

allotment_client::allotment_client(gateway_state & shared_state)
    : state(shared_state)
    , agent(
          {shared_state.settings.node,
           static_cast<std::uint64_t>(shared_state.random() * 4e15) + 1},
          options_of(shared_state.settings),
          [this](account_name const & account)
          {
              return this->limits_of(account);
          },
          now_with_suspension())
    , timer(shared_state.io)
{
}

void allotment_client::start()
{
    this->poll_soon(duration(0));
}

std::optional<allotment_limits>
allotment_client::limits_of(account_name const & account) const
{
    auto const & configuration = this->state.fleet.configuration();
    auto const * const found =
        configuration ? configuration->find_account(account) : nullptr;
    if (found == nullptr || found->requests_per_second <= 0)
    {
        return std::nullopt;
    }
    return allotment_limits::of(*found);
}

std::optional<allotment_verdict>
allotment_client::begin(client_account const & account,
                        duration patience,
                        verdict_handler const & done,
                        std::uint64_t & number)
{
    this->update_nodes();
    number = ++this->last_number;
    auto const verdict = this->agent.begin(account.name,
                                           allotment_limits::of(account),
                                           number,
                                           patience,
                                           now_with_suspension(),
                                           this->state.random());
    if (!verdict)
    {
        this->handlers.emplace(number, done);
    }
    this->log_events();
    this->poll_soon(verdict ? allotment_agent::poll_interval()
                            : combining_time);
    return verdict;
}

void allotment_client::cancel(account_name const & account,
                              std::uint64_t number)
{
    this->handlers.erase(number);
    this->agent.cancel(account, number);
}

void allotment_client::put_back(account_name const & account,
                                allotment_verdict const & verdict)
{
    this->agent.put_back(account, verdict, now_with_suspension());
}

void allotment_client::retire()
{
    this->agent.retire(now_with_suspension());
    this->poll_soon(duration(0));
}

allotment_response allotment_client::answer(allotment_message const & message)
{
    this->update_nodes();
    auto response = this->agent.answer(message, now_with_suspension());
    this->log_events();
    this->poll_soon(combining_time);
    return response;
}

void allotment_client::update_nodes()
{
    auto const changes = this->state.fleet.change_count();
    if (this->known_changes == changes)
    {
        return;
    }
    this->known_changes = changes;
    allotment_directory::node_list present;
    for (auto const * const entry : this->state.fleet.targets_except({}))
    {
        if (entry->state != target_state::removed)
        {
            present.push_back(
                {entry->node, entry->peer, entry->id, entry->domain});
        }
    }
    this->agent.set_nodes(present);
    auto const own_entry = this->state.target.entry();
    bool const is_present =
        own_entry && own_entry->state != target_state::removed;
    if (is_present)
    {
        this->last_target = own_entry->id;
    }
    this->agent.set_own_departure(is_present ? std::nullopt
                                             : this->last_target);
}

// ---------------------------------------------------------------------------
// periodic work
// ---------------------------------------------------------------------------

void allotment_client::poll_soon(duration delay)
{
    auto const when = loop_now() + delay;
    if (this->next_poll && *this->next_poll <= when)
    {
        return;
    }
    this->next_poll = when;
    this->timer.expires_after(delay);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->next_poll.reset();
                this->poll();
            }
        });
}

void allotment_client::poll()
{
    this->update_nodes();
    auto const now = now_with_suspension();
    auto todo = this->agent.poll(now, this->state.random());
    // also notices, without requests, that this node was cut off
    this->poll_soon(this->agent.is_active(now)
                        ? allotment_agent::poll_interval()
                        : idle_poll_interval);
    for (auto & message : todo.messages)
    {
        this->send(std::move(message));
    }
    this->log_events();
    for (auto const & decision : todo.decisions)
    {
        auto const found = this->handlers.find(decision.request);
        if (found == this->handlers.end())
        {
            continue;
        }
        auto const done = std::move(found->second);
        this->handlers.erase(found);
        done(decision.verdict);
    }
}

// ---------------------------------------------------------------------------
// messages
// ---------------------------------------------------------------------------

void allotment_client::send(allotment_agent::outgoing message)
{
    auto const address = this->agent.address(message.to);
    auto const now = now_with_suspension();
    if (!address)
    {
        this->agent.record_failure(message, false, now, now);
        return;
    }
    // also to a node that is suspended from placement: it may have been
    // restarted, and its answer ends what its last process held
    auto & peer = this->state.peer(*address);
    auto request = allotment_exchange::write_request(message.message);
    auto const timeout =
        message.message.vote_requests.empty() ? ask_timeout : vote_timeout;
    peer.call(
        std::move(request),
        timeout,
        [this, message = std::move(message), now](call_result const & result)
        {
            this->handle_result(message, now, result);
            this->poll_soon(duration(0));
        });
}

void allotment_client::handle_result(allotment_agent::outgoing const & sent,
                                     time_point sent_at,
                                     call_result const & result)
{
    failure reason;
    bool const is_answered =
        result.status == call_status::answered &&
        result.response.result() == boost::beast::http::status::ok;
    auto const response =
        is_answered
            ? allotment_exchange::read_response(result.response.body(), reason)
            : std::nullopt;
    auto const now = now_with_suspension();
    if (response)
    {
        this->agent.record_response(sent, *response, sent_at, now);
        return;
    }
    if (is_answered)
    {
        this->state.log.write(
            "allotment_answer_unreadable",
            {{"peer", sent.to.value()}, {"reason", reason.describe()}});
    }
    this->agent.record_failure(sent, result.connection_refused, sent_at, now);
}

// ---------------------------------------------------------------------------
// logs and metrics
// ---------------------------------------------------------------------------

void allotment_client::log_events()
{
    using kind = allotment_agent::event::kind;
    for (auto const & event : this->agent.take_events())
    {
        switch (event.what)
        {
        case kind::exhausted:
            this->state.log.write("allotment_exhausted",
                                  {{"account", event.account.value()}});
            break;
        case kind::available:
            this->state.log.write("allotment_available",
                                  {{"account", event.account.value()}});
            break;
        case kind::ownership:
            this->state.log.write("allotment_owned",
                                  {{"account", event.account.value()}});
            break;
        case kind::owner_lost:
            this->state.log.write("allotment_owner_lost",
                                  {{"peer", event.node.value()}});
            break;
        case kind::owner_regained:
            this->state.log.write("allotment_owner_regained",
                                  {{"peer", event.node.value()}});
            break;
        case kind::owner_departed:
            this->state.log.write("allotment_owner_departed",
                                  {{"peer", event.node.value()}});
            break;
        case kind::unserved:
            this->state.log.write("allotment_unserved",
                                  {{"account", event.account.value()},
                                   {"waits_for", event.node.value()},
                                   {"for_ms", format_milliseconds(event.age)},
                                   {"reason", event.reason}});
            break;
        }
    }
}

void allotment_client::write_metrics()
{
    auto const & counters = this->agent.counters();
    auto const set = [this](char const * name, std::uint64_t value)
    {
        this->state.metrics.set_gauge(name, static_cast<double>(value));
    };
    set("allotment_granted", counters.granted);
    set("allotment_refused_exhausted", counters.refused_exhausted);
    set("allotment_refused_without_contact", counters.refused_no_contact);
    set("allotment_asks", counters.asks);
    set("allotment_messages", counters.messages);
    set("allotment_messages_failed", counters.failed_messages);
    set("allotment_tokens_returned", counters.returned);
    set("allotment_accounts_owned", this->agent.ledger_count());
    auto const unserved = this->agent.unserved(now_with_suspension());
    set("allotment_accounts_unserved", unserved.count);
    this->state.metrics.set_gauge(
        "allotment_unserved_oldest_seconds",
        std::chrono::duration<double>(unserved.oldest).count());
}

} // namespace endivehinge::detail
