#include <endivehinge/detail/gateway/rollout_control.hpp>

#include <algorithm> // any_of

#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

#include <endivehinge/core/json_text.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/rollout_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// for the response to a poll; covers several round trips between failure
// domains, and is shorter than the interval of the polls
constexpr duration poll_timeout = std::chrono::milliseconds(180);

char const * to_string(rollout_verdict verdict)
{
    switch (verdict)
    {
    case rollout_verdict::good:
        return "good";
    case rollout_verdict::bad:
        return "bad";
    case rollout_verdict::undecided:
        break;
    }
    return "undecided";
}

bool is_concluded(rollout_state state)
{
    return state == rollout_state::completed ||
           state == rollout_state::rolled_back;
}

json describe_counts(rollout_counts const & counts)
{
    auto const total = counts.total();
    return {{"version", counts.version.value()},
            {"arrivals", total.arrivals},
            {"responses", total.responses},
            {"failures", total.failures},
            {"in_progress", counts.in_progress},
            {"cold", counts.cold},
            {"gate", counts.closed ? "closed" : "open"},
            {"term", counts.term}};
}

json describe_entry(known_rollout const & known)
{
    auto const & order = known.entry.order;
    auto const status = known.entry.status.value_or(rollout_status());
    return {{"service", order.service.value()},
            {"target_version", order.target_version.value()},
            {"duration_s", std::chrono::duration<double>(order.length).count()},
            {"state", to_string(state_of(known.entry))},
            {"stage", to_string(status.stage)},
            {"share", status.share},
            {"coordinator", status.coordinator.value()},
            {"term", status.term},
            {"reason", status.reason}};
}

} // namespace

rollout_control::rollout_control(gateway_state & shared, replica_sync & sync)
    : state(shared)
    , replicas(sync)
    , service(shared.settings.service)
    , timer(shared.io)
{
}

void rollout_control::start()
{
    if (this->state.settings.rollouts)
    {
        this->arm_timer();
    }
}

void rollout_control::arm_timer()
{
    this->timer.expires_after(rollout_poll_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->arm_timer();
                this->tick();
            }
        });
}

void rollout_control::tick()
{
    auto const & fleet = this->state.fleet;
    // also updates what it knows of the order
    static_cast<void>(this->state.own_rollout->accepts());
    auto const * const known = fleet.find_rollout(this->service);
    if (!fleet.knows_rollouts() || known == nullptr)
    {
        this->end_term("order is gone");
        return;
    }
    // a copy, since the view may change in the calls below
    this->review(known_rollout(*known));
}

void rollout_control::review(known_rollout const & known)
{
    auto const & entry = known.entry;
    if (is_concluded(state_of(entry)))
    {
        this->end_term("concluded");
        bool const is_elected =
            elect_rollout_coordinator(this->service, this->candidates()) ==
            this->state.settings.node;
        if (!known.is_conclusion_stored && is_elected && !this->writing &&
            this->replicas.has_store_contact())
        {
            this->write(entry, *entry.status);
        }
        return;
    }
    if (this->coordinator && this->is_in_charge(entry))
    {
        this->run_term(entry);
    }
    if (!this->coordinator)
    {
        this->consider_takeover(entry);
    }
}

// ---------------------------------------------------------------------------
// role
// ---------------------------------------------------------------------------

std::vector<target_entry const *> rollout_control::targets() const
{
    return this->state.fleet.ready_targets(this->service);
}

std::vector<rollout_candidate> rollout_control::candidates() const
{
    std::vector<rollout_candidate> result;
    for (auto const * const target : this->targets())
    {
        bool const is_self = target->node == this->state.settings.node;
        bool const is_reachable =
            is_self || !this->state.peer(target->peer).is_suspended();
        result.push_back({target->node, is_reachable, true});
    }
    return result;
}

void rollout_control::consider_takeover(rollout_entry const & entry)
{
    if (this->attempted_takeover && entry.status == this->attempted_takeover)
    {
        this->begin_term(entry);
        return;
    }
    auto const & self = this->state.settings.node;
    auto const known_candidates = this->candidates();
    bool const is_candidate = std::any_of(known_candidates.begin(),
                                          known_candidates.end(),
                                          [&self](auto const & candidate)
                                          {
                                              return candidate.node == self;
                                          });
    auto const & own = *this->state.own_rollout;
    if (this->writing || !is_candidate || this->state.stopping ||
        !this->replicas.has_store_contact() ||
        !should_take_over(
            self, entry, known_candidates, own.since_coordinator()))
    {
        return;
    }
    this->attempted_takeover = make_takeover_status(entry, self, own.term());
    this->write(entry, *this->attempted_takeover);
}

bool rollout_control::is_in_charge(rollout_entry const & entry)
{
    if (entry.order != this->order)
    {
        this->end_term("order has changed");
        return false;
    }
    auto const stored = entry.status.value_or(rollout_status());
    auto const & wanted = this->coordinator->wanted_status();
    if (wanted && stored == *wanted)
    {
        // the response to the write was lost or is still on its way
        this->confirm_status();
        return true;
    }
    if (stored != this->coordinator->status())
    {
        this->end_term("store holds another status");
        return false;
    }
    return true;
}

void rollout_control::begin_term(rollout_entry const & entry)
{
    auto const & bounds = *this->state.settings.rollouts;
    this->attempted_takeover.reset();
    this->order = entry.order;
    this->logged_step.clear();
    this->coordinator = std::make_unique<rollout_coordinator>(
        entry,
        rollout_exposure_limits{bounds.exposed_share, bounds.exposed_slack},
        this->state.own_rollout->order_age(),
        loop_now());
    this->state.metrics.increment("rollout_terms");
    this->state.log.write(
        "rollout_term_began",
        {{"service", this->service.value()},
         {"target_version", entry.order.target_version.value()},
         {"term", absl::StrCat(entry.status->term)},
         {"stage", to_string(entry.status->stage)}});
}

void rollout_control::end_term(char const * reason)
{
    if (!this->coordinator)
    {
        return;
    }
    this->state.log.write(
        "rollout_term_ended",
        {{"service", this->service.value()},
         {"term", absl::StrCat(this->coordinator->status().term)},
         {"reason", reason}});
    this->coordinator.reset();
}

// ---------------------------------------------------------------------------
// polls
// ---------------------------------------------------------------------------

void rollout_control::run_term(rollout_entry const & entry)
{
    std::vector<rollout_target> known_targets;
    for (auto const * const target : this->targets())
    {
        known_targets.push_back({target->node, target->version});
    }
    this->coordinator->set_targets(known_targets);
    this->coordinator->advance(loop_now());
    if (this->coordinator->is_superseded())
    {
        this->end_term("another node obeys a higher term");
        return;
    }
    this->log_step();
    if (auto const & wanted = this->coordinator->wanted_status();
        wanted && !this->writing)
    {
        this->write(entry, *wanted);
    }
    for (auto const * const target : this->targets())
    {
        this->poll(*target);
    }
}

void rollout_control::poll(target_entry const & target)
{
    auto const instruction = this->coordinator->instruction_for(target.node);
    auto const term = instruction.term;
    if (target.node == this->state.settings.node)
    {
        static_cast<void>(this->state.own_rollout->apply(instruction));
        this->record(this->state.target.rollout_report(), term);
        return;
    }
    this->state.peer(target.peer)
        .call(rollout_exchange::write_request(instruction),
              poll_timeout,
              [this,
               alive = std::weak_ptr<bool>(this->lifetime),
               peer = target.peer,
               term](call_result const & result)
              {
                  if (!alive.expired())
                  {
                      this->on_poll_response(peer, term, result);
                  }
              });
}

void rollout_control::on_poll_response(endpoint const & peer,
                                       std::uint64_t term,
                                       call_result const & result)
{
    if (result.status != call_status::answered ||
        result.response.result() != http::status::ok)
    {
        this->state.metrics.increment("rollout_polls_failed");
        return;
    }
    failure reason;
    auto const counts = rollout_exchange::read(result.response.body(), reason);
    if (!counts)
    {
        this->state.log.write(
            "rollout_report_unreadable",
            {{"peer", peer.to_string()}, {"reason", reason.describe()}});
        return;
    }
    this->record(*counts, term);
}

void rollout_control::record(rollout_counts const & counts, std::uint64_t term)
{
    // a node that does not know this order yet reports counts and the age of
    // an earlier one
    if (this->coordinator && this->coordinator->status().term == term &&
        counts.term >= term)
    {
        this->coordinator->record(counts, loop_now());
    }
}

void rollout_control::serve(exchange & incoming)
{
    failure reason;
    auto const instruction =
        rollout_exchange::read_request(incoming.request, reason);
    bool const is_served = instruction && this->state.own_rollout &&
                           instruction->service == this->service;
    response_message response{
        is_served ? http::status::ok : http::status::bad_request, 11};
    if (is_served)
    {
        static_cast<void>(this->state.own_rollout->apply(*instruction));
        response.set(http::field::content_type, "application/json");
        response.body() =
            rollout_exchange::write(this->state.target.rollout_report());
    }
    else
    {
        this->state.log.write("rollout_poll_rejected",
                              {{"reason", reason.describe()}});
    }
    response.keep_alive(true);
    response.prepare_payload();
    incoming.respond(std::move(response));
}

// ---------------------------------------------------------------------------
// status
// ---------------------------------------------------------------------------

void rollout_control::write(rollout_entry const & base,
                            rollout_status const & status)
{
    this->writing = true;
    this->replicas.write_rollout_status(
        base,
        status,
        [this, alive = std::weak_ptr<bool>(this->lifetime), base, status](
            rollout_write_result const & result)
        {
            if (alive.expired())
            {
                return;
            }
            this->writing = false;
            this->on_written(base, status, result);
        });
}

void rollout_control::on_written(rollout_entry const & base,
                                 rollout_status const & status,
                                 rollout_write_result const & result)
{
    this->state.log.write(
        "rollout_status_write",
        {{"service", this->service.value()},
         {"target_version", status.target_version.value()},
         {"state", to_string(status.state)},
         {"stage", to_string(status.stage)},
         {"share", absl::StrCat(status.share)},
         {"term", absl::StrCat(status.term)},
         {"writer", this->state.settings.node.value()},
         {"outcome",
          result.outcome == rollout_write_outcome::written    ? "written"
          : result.outcome == rollout_write_outcome::conflict ? "conflict"
          : result.outcome == rollout_write_outcome::absent   ? "absent"
                                                              : "unknown"},
         {"reason", status.reason},
         {"detail", result.detail}});
    if (result.outcome == rollout_write_outcome::unknown)
    {
        // repeated under the same version, unless the store shows another one
        return;
    }
    if (result.outcome == rollout_write_outcome::absent || !result.stored)
    {
        this->end_term("store has no such order");
        return;
    }
    auto const & stored = *result.stored;
    this->state.fleet.set_rollout({stored, true});
    bool const is_own = stored.status == status;
    if (!is_own || stored.order != base.order || is_concluded(state_of(stored)))
    {
        // the next review obeys what the store holds
        return;
    }
    if (!this->coordinator)
    {
        this->begin_term(stored);
    }
    else if (this->coordinator->wanted_status() == status)
    {
        this->confirm_status();
    }
}

void rollout_control::confirm_status()
{
    this->coordinator->confirm(loop_now());
    auto const & status = this->coordinator->status();
    this->state.metrics.increment(
        absl::StrCat("rollout_statuses_", to_string(status.state)));
}

void rollout_control::log_step()
{
    auto const & step = this->coordinator->step();
    auto const & judgement = this->coordinator->judgement();
    auto const text = absl::StrCat(step.reason, "; ", judgement.reason);
    if (text == this->logged_step)
    {
        return;
    }
    this->logged_step = text;
    this->state.log.write(
        "rollout_step",
        {{"service", this->service.value()},
         {"term", absl::StrCat(this->coordinator->status().term)},
         {"step", step.reason},
         {"verdict", to_string(judgement.verdict)},
         {"responses", absl::StrCat(judgement.responses)},
         {"evidence", judgement.reason}});
}

// ---------------------------------------------------------------------------
// operators
// ---------------------------------------------------------------------------

bool rollout_control::is_coordinator() const
{
    return this->coordinator != nullptr;
}

std::string rollout_control::describe()
{
    json document = {{"node", this->state.settings.node.value()},
                     {"in_force", this->state.settings.rollouts.has_value()},
                     {"rollouts", json::array()}};
    for (auto const & [name, known] : this->state.fleet.rollouts())
    {
        document["rollouts"].push_back(describe_entry(known));
    }
    if (this->state.own_rollout)
    {
        document["target"] =
            describe_counts(this->state.target.rollout_report());
    }
    if (this->coordinator)
    {
        auto const & judgement = this->coordinator->judgement();
        document["coordinates"] = {{"service", this->service.value()},
                                   {"verdict", to_string(judgement.verdict)},
                                   {"evidence", judgement.reason},
                                   {"responses", judgement.responses},
                                   {"step", this->coordinator->step().reason}};
    }
    return to_json_text(document);
}

} // namespace endivehinge::detail
