#include <endivehinge/coordination/key_owner.hpp>

#include <utility> // move

namespace endivehinge
{

key_owner::key_owner(owner_identity own,
                     lease_timing const & durations,
                     idempotency_limits const & limits)
    : self(own)
    , timing(durations)
    , holder(std::move(own), durations, limits.window)
    , table(limits)
{
}

owner_report key_owner::begin(idempotency_key const & key,
                              request_fingerprint fingerprint,
                              clock_reading const & reading)
{
    owner_report report;
    if (!this->holder.lease_end(reading.now).has_value())
    {
        report.refusal = owner_refusal::lease_expired;
        return report;
    }
    auto const end = this->holder.lease_end(key, reading.now);
    if (!end.has_value())
    {
        report.refusal = owner_refusal::not_owner;
        return report;
    }
    auto & coverage = this->holder.coverage();
    report.key = this->table.begin(
        key, fingerprint, coverage.complete_since(key, reading.now), reading);
    report.dispatch_end = *end - this->timing.dispatch_margin;
    report.number = this->holder.current()->number;
    report.awaits_records =
        report.key.decision == key_decision::indeterminate &&
        coverage.awaits_records(key, reading.now);
    return report;
}

bool key_owner::may_dispatch(owner_report const & started, time_point now) const
{
    return this->holder.lease_end(now).has_value() &&
           this->holder.current()->number == started.number &&
           now < started.dispatch_end;
}

std::shared_ptr<outcome const> key_owner::finish(idempotency_key const & key,
                                                 outcome result,
                                                 clock_reading const & reading)
{
    auto stored = this->table.finish(key, std::move(result), reading);
    auto const & current = this->holder.current();
    auto const * const owner =
        current.has_value() ? owner_of(key, current->members) : nullptr;
    if (owner == nullptr || *owner == this->self)
    {
        return stored;
    }
    // the key changed owner while its request was running
    record_handover handover;
    handover.from = this->self;
    handover.to = *owner;
    handover.number = current->number;
    handover.records = this->table.export_records(
        [&key](idempotency_key const & candidate)
        {
            return candidate == key;
        },
        reading);
    this->outgoing.push_back(std::move(handover));
    return stored;
}

void key_owner::apply_grant(lease_grant const & grant,
                            time_point sent,
                            clock_reading const & reading)
{
    auto const complete_since =
        this->holder.coverage().complete_since_any_key(reading.now);
    if (this->holder.apply_grant(grant, sent, reading))
    {
        this->prepare_handovers(complete_since, reading);
    }
}

void key_owner::import_handover(record_handover const & handover,
                                clock_reading const & reading)
{
    this->table.import_records(handover.records, reading);
    if (handover.is_complete)
    {
        this->holder.coverage().on_handover(
            handover.from, handover.number, handover.complete_since);
    }
}

std::vector<record_handover> key_owner::take_handovers()
{
    return std::exchange(this->outgoing, {});
}

void key_owner::set_window(duration window, clock_reading const & reading)
{
    this->table.set_window(window, reading);
    this->holder.coverage().set_window(window);
}

lease_holder & key_owner::lease()
{
    return this->holder;
}

lease_holder const & key_owner::lease() const
{
    return this->holder;
}

idempotency_table const & key_owner::records() const
{
    return this->table;
}

// An owner that missed an epoch sends no handover: its records are incomplete.
void key_owner::prepare_handovers(std::optional<wall_time> complete_since,
                                  clock_reading const & reading)
{
    assignment const & current = *this->holder.current();
    if (!this->holder.adopted_previous_epoch() ||
        !contains(current.previous, this->self))
    {
        return;
    }
    for (auto const & next : current.members)
    {
        if (next == this->self)
        {
            continue;
        }
        record_handover handover;
        handover.from = this->self;
        handover.to = next;
        handover.number = current.number;
        handover.is_complete = complete_since != wall_time::max();
        handover.complete_since = complete_since;
        handover.records = this->table.export_records(
            [this, &current, &next](idempotency_key const & key)
            {
                return *owner_of(key, current.members) == next &&
                       *owner_of(key, current.previous) == this->self;
            },
            reading);
        this->outgoing.push_back(std::move(handover));
    }
}

} // namespace endivehinge
