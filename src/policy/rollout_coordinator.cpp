#include <endivehinge/policy/rollout_coordinator.hpp>

#include <algorithm> // all_of, any_of, count_if, max, min, remove
#include <utility>   // move

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// a node that has not reported for five polls is not reachable
constexpr duration max_report_age = seconds(1);
// longest validity of a grant of an earlier term (3 s), and the age of the
// report that it was based on (1 s), less the time until a take-over (1.5 s),
// rounded up
constexpr duration earlier_grants_end = seconds(3);
// time before the end of the trial time in which warm targets are loaded: the
// evidence is recent when it is needed
constexpr duration load_time = milliseconds(1500);
// a bad verdict with a greater probability must last for this time, somewhat
// less than two polls
constexpr double certain_probability = 1e-6;
constexpr duration confirmation_time = milliseconds(300);
// time after which a service without an old target is taken to run the ordered
// version already; the configuration delay of the platform
constexpr duration already_done_delay = milliseconds(2500);

} // namespace

rollout_status make_takeover_status(rollout_entry const & entry,
                                    node_name const & self,
                                    std::uint64_t highest_term)
{
    rollout_status next;
    if (entry.status)
    {
        next = *entry.status;
    }
    next.term = std::max(next.term, highest_term) + 1;
    next.coordinator = self;
    next.reason = "coordinator takes over";
    if (state_of(entry) == rollout_state::running)
    {
        return next;
    }
    bool const was_completed =
        entry.status && entry.status->state == rollout_state::completed;
    if (was_completed)
    {
        next.excluded.clear();
    }
    else if (entry.status && entry.status->state != rollout_state::none)
    {
        next.excluded.push_back(entry.status->target_version);
    }
    auto const & target = entry.order.target_version;
    next.excluded.erase(
        std::remove(next.excluded.begin(), next.excluded.end(), target),
        next.excluded.end());
    next.state = rollout_state::running;
    next.target_version = target;
    next.first_term = next.term;
    next.stage = rollout_stage::trial;
    next.share = 0;
    next.reason = "first term of the order";
    return next;
}

rollout_coordinator::rollout_coordinator(rollout_entry const & entry,
                                         rollout_exposure_limits const & limits,
                                         duration order_age,
                                         time_point now)
    : order(entry.order)
    , confirmed(entry.status.value_or(rollout_status{}))
    , judge(entry.order.target_version)
    , ledger(entry.order.target_version,
             limits,
             confirmed.term - confirmed.first_term)
    , term_start(now)
    , share_start(now)
    , order_start(now - order_age)
    , closing_sequence(1)
{
}

bool rollout_coordinator::is_new(rollout_target const & target) const
{
    return target.version == this->order.target_version;
}

void rollout_coordinator::set_targets(std::vector<rollout_target> const & known)
{
    std::map<node_name, contact> next;
    for (auto const & target : known)
    {
        auto const earlier = this->contacts.find(target.node);
        bool const is_same = earlier != this->contacts.end() &&
                             earlier->second.target.version == target.version;
        next[target.node] =
            is_same ? earlier->second
                    : contact{target, std::nullopt, this->term_start};
        this->had_old_target = this->had_old_target || !this->is_new(target);
    }
    for (auto const & [node, removed] : this->contacts)
    {
        if (next.find(node) == next.end())
        {
            this->judge.remove(node);
            this->ledger.remove(node);
        }
    }
    this->contacts = std::move(next);
}

void rollout_coordinator::record(rollout_counts const & counts, time_point now)
{
    auto const known = this->contacts.find(counts.node);
    if (known == this->contacts.end() ||
        known->second.target.version != counts.version)
    {
        return; // the target was replaced; set_targets() tells of the new one
    }
    if (counts.term > this->confirmed.term)
    {
        this->superseded = true;
    }
    auto & report = known->second.report;
    if (report && counts.process == report->process &&
        counts.reported_at < report->reported_at)
    {
        return; // a late report
    }
    report = counts;
    known->second.last_report = now;
    this->order_start = std::min(this->order_start, now - counts.order_age);
    this->judge.record(counts, now);
    this->ledger.record(counts, now);
}

bool rollout_coordinator::reaches_majority(time_point now) const
{
    auto const reachable = std::count_if(
        this->contacts.begin(),
        this->contacts.end(),
        [now](auto const & known)
        {
            return known.second.report &&
                   now - known.second.last_report <= max_report_age;
        });
    return 2 * static_cast<std::size_t>(reachable) > this->contacts.size();
}

bool rollout_coordinator::is_already_done(time_point now) const
{
    bool const has_new_target =
        std::any_of(this->contacts.begin(),
                    this->contacts.end(),
                    [](auto const & known)
                    {
                        return known.second.report.has_value();
                    });
    return !this->had_old_target && has_new_target &&
           this->confirmed.term == this->confirmed.first_term &&
           now - this->term_start >= already_done_delay;
}

rollout_old_target rollout_coordinator::describe_old(contact const & old,
                                                     time_point now) const
{
    rollout_old_target described;
    described.since_contact = now - old.last_report;
    if (old.report && old.report->term == this->confirmed.term &&
        old.report->sequence >= this->closing_sequence)
    {
        described.closed = old.report->closed;
        described.in_progress = old.report->in_progress;
    }
    return described;
}

rollout_situation rollout_coordinator::describe(time_point now) const
{
    rollout_situation current;
    current.order = this->order;
    current.elapsed = now - this->order_start;
    current.stage = this->confirmed.stage;
    current.share = this->confirmed.share;
    current.since_share = now - this->share_start;
    current.judgement = this->latest_judgement;
    for (auto const & [node, known] : this->contacts)
    {
        if (!this->is_new(known.target))
        {
            current.old_targets.push_back(this->describe_old(known, now));
        }
        else if (known.report)
        {
            ++current.new_targets;
        }
    }
    return current;
}

bool rollout_coordinator::have_grants_ended(time_point now) const
{
    auto const & removed = this->ledger.expiry_of_removed();
    if (removed && now <= *removed)
    {
        return false;
    }
    return std::all_of(
        this->contacts.begin(),
        this->contacts.end(),
        [this, now](auto const & known)
        {
            auto const & [node, holder] = known;
            if (!this->is_new(holder.target))
            {
                return true;
            }
            if (holder.report && holder.report->term == this->confirmed.term &&
                holder.report->sequence >= this->withdrawal_sequence)
            {
                return true;
            }
            bool const may_hold_earlier =
                this->confirmed.term != this->confirmed.first_term &&
                (!holder.report || holder.report->term != this->confirmed.term);
            auto const expiry = this->ledger.latest_expiry(node);
            return !(may_hold_earlier &&
                     now <= this->term_start + earlier_grants_end) &&
                   !(expiry && now <= *expiry);
        });
}

void rollout_coordinator::want(rollout_state state, std::string const & reason)
{
    this->wanted = this->confirmed;
    this->wanted->state = state;
    this->wanted->reason = reason;
}

// Failures that both versions begin to share may be seen at the new one first,
// so that a finding without great certainty must last for a further poll.
void rollout_coordinator::review_bad_verdict(time_point now)
{
    if (this->latest_judgement.verdict != rollout_verdict::bad)
    {
        this->bad_since.reset();
        return;
    }
    this->bad_since = this->bad_since.value_or(now);
    if (this->latest_judgement.bad_probability > certain_probability &&
        now - *this->bad_since < confirmation_time)
    {
        this->latest_judgement.verdict = rollout_verdict::undecided;
    }
}

void rollout_coordinator::decide(time_point now)
{
    bool const is_concluding =
        this->wanted && this->wanted->state != rollout_state::running;
    if (is_concluding || this->confirmed.state != rollout_state::running)
    {
        return;
    }
    if (!this->had_old_target && !this->withdrawal)
    {
        if (this->is_already_done(now))
        {
            this->want(rollout_state::completed,
                       "no target of another version");
            return;
        }
        if (now - this->term_start < already_done_delay)
        {
            return;
        }
    }
    if (this->withdrawal)
    {
        if (!this->wanted && this->have_grants_ended(now))
        {
            this->want(rollout_state::rolled_back, *this->withdrawal);
        }
        return;
    }
    this->latest_step = next_rollout_step(this->describe(now));
    if (this->latest_step.action == rollout_action::roll_back)
    {
        this->withdrawal = this->latest_step.reason;
        this->withdrawal_sequence = this->sequence + 1;
        return;
    }
    if (this->wanted)
    {
        return;
    }
    if (this->latest_step.action == rollout_action::complete)
    {
        this->want(rollout_state::completed, this->latest_step.reason);
    }
    if (this->latest_step.action == rollout_action::shift)
    {
        this->want(rollout_state::running, this->latest_step.reason);
        this->wanted->stage = rollout_stage::shifting;
        this->wanted->share = this->latest_step.share;
    }
}

void rollout_coordinator::advance(time_point now)
{
    this->latest_judgement = this->judge.judge(now);
    this->review_bad_verdict(now);
    this->decide(now);
    bool const may_grant = !this->withdrawal && !this->superseded &&
                           this->confirmed.state == rollout_state::running &&
                           this->reaches_majority(now);
    if (may_grant)
    {
        bool const is_load_due =
            now - this->order_start >= trial_end_for(this->order) - load_time;
        this->ledger.advance(
            this->confirmed.stage, this->confirmed.share, is_load_due, now);
    }
}

rollout_instruction rollout_coordinator::instruction_for(node_name const & node)
{
    rollout_instruction next;
    next.service = this->order.service;
    next.target_version = this->order.target_version;
    next.coordinator = this->confirmed.coordinator;
    next.term = this->confirmed.term;
    next.sequence = ++this->sequence;
    next.stage = this->confirmed.stage;
    next.withdrawn = this->withdrawal.has_value();
    next.old_closed = !next.withdrawn &&
                      this->confirmed.stage == rollout_stage::shifting &&
                      this->confirmed.share >= 1;
    if (auto const grant = this->ledger.grant_for(node);
        grant && !next.withdrawn)
    {
        next.holder = grant->holder;
        next.max_accepted = grant->max_accepted;
        next.max_failures = grant->max_failures;
        next.expires_at = grant->expires_at;
    }
    return next;
}

std::optional<rollout_status> const & rollout_coordinator::wanted_status() const
{
    return this->wanted;
}

void rollout_coordinator::confirm(time_point now)
{
    if (!this->wanted)
    {
        return;
    }
    if (this->wanted->share != this->confirmed.share ||
        this->wanted->stage != this->confirmed.stage)
    {
        this->share_start = now;
        this->closing_sequence = this->sequence + 1;
    }
    this->confirmed = *this->wanted;
    this->wanted.reset();
}

rollout_status const & rollout_coordinator::status() const
{
    return this->confirmed;
}

bool rollout_coordinator::is_superseded() const
{
    return this->superseded;
}

rollout_judgement const & rollout_coordinator::judgement() const
{
    return this->latest_judgement;
}

rollout_step const & rollout_coordinator::step() const
{
    return this->latest_step;
}

} // namespace endivehinge
