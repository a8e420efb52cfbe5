#include <endivehinge/coordination/key_owner.hpp>

#include <utility> // move

namespace endivehinge
{

key_owner::key_owner(owner_identity own,
                     lease_timing const & spans,
                     idempotency_limits const & limits)
    : self(own)
    , timing(spans)
    , holder(std::move(own), spans, limits.window)
    , table(limits)
{
}

owner_report key_owner::begin(idempotency_key const & key,
                              request_fingerprint fingerprint,
                              clock_reading const & at)
{
    owner_report report;
    if (!this->holder.lease_end(at.now).has_value())
    {
        report.refusal = owner_refusal::lease_expired;
        return report;
    }
    auto const end = this->holder.lease_end(key, at.now);
    if (!end.has_value())
    {
        report.refusal = owner_refusal::not_owner;
        return report;
    }
    auto & coverage = this->holder.coverage();
    report.key = this->table.begin(
        key, fingerprint, coverage.complete_since(key, at.now), at);
    report.dispatch_end = *end - this->timing.dispatch_margin;
    report.number = this->holder.current()->number;
    report.awaits_records =
        report.key.decision == key_decision::indeterminate &&
        coverage.awaits_records(key, at.now);
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
                                                 clock_reading const & at)
{
    auto kept = this->table.finish(key, std::move(result), at);
    auto const & current = this->holder.current();
    auto const * const owner =
        current.has_value() ? owner_of(key, current->members) : nullptr;
    if (owner == nullptr || *owner == this->self)
    {
        return kept;
    }
    // the key has gone on while its request ran
    record_handover update;
    update.from = this->self;
    update.to = *owner;
    update.number = current->number;
    update.records = this->table.export_records(
        [&key](idempotency_key const & one)
        {
            return one == key;
        },
        at);
    this->outgoing.push_back(std::move(update));
    return kept;
}

void key_owner::apply_grant(lease_grant const & grant,
                            time_point sent,
                            clock_reading const & at)
{
    auto const complete_since =
        this->holder.coverage().complete_since_any_key(at.now);
    if (this->holder.apply_grant(grant, sent, at))
    {
        this->prepare_handovers(complete_since, at);
    }
}

void key_owner::import_handover(record_handover const & handed,
                                clock_reading const & at)
{
    this->table.import_records(handed.records, at);
    if (handed.is_complete)
    {
        this->holder.coverage().hand_over(
            handed.from, handed.number, handed.complete_since);
    }
}

std::vector<record_handover> key_owner::take_handovers()
{
    return std::exchange(this->outgoing, {});
}

void key_owner::set_window(duration window, clock_reading const & at)
{
    this->table.set_window(window, at);
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

// the records of an owner that missed an epoch are not all there are
void key_owner::prepare_handovers(std::optional<wall_time> complete_since,
                                  clock_reading const & at)
{
    assignment const & current = *this->holder.current();
    if (!this->holder.followed() || !contains(current.previous, this->self))
    {
        return;
    }
    for (auto const & next : current.members)
    {
        if (next == this->self)
        {
            continue;
        }
        record_handover handed;
        handed.from = this->self;
        handed.to = next;
        handed.number = current.number;
        handed.is_complete = complete_since != wall_time::max();
        handed.complete_since = complete_since;
        handed.records = this->table.export_records(
            [this, &current, &next](idempotency_key const & key)
            {
                return *owner_of(key, current.members) == next &&
                       *owner_of(key, current.previous) == this->self;
            },
            at);
        this->outgoing.push_back(std::move(handed));
    }
}

} // namespace endivehinge
