#include <endivehinge/policy/target_incarnation_tracker.hpp>

#include <algorithm> // any_of, find_if, max

namespace endivehinge
{
namespace
{

// incarnations whose late messages are still recognised
constexpr std::size_t max_known_incarnations = 32;
// highest report sequence that identifies a new incarnation under a reused id
// if no start time is known; each incarnation restarts the sequence
constexpr std::uint64_t last_startup_sequence = 2;
// reports in a row after which a doubtful incarnation is taken for the running
// one; a late message or two do not reach it
constexpr std::uint32_t proving_reports = 3;

bool is_startup(target_status_report const & received)
{
    return received.sequence <= last_startup_sequence &&
           received.state == target_state::ready;
}

bool is_earlier_start(target_status_report const & a,
                      target_status_report const & b)
{
    return a.started_ms != 0 && a.started_ms < b.started_ms;
}

bool is_start_unknown(target_status_report const & a,
                      target_status_report const & b)
{
    return a.started_ms == 0 || b.started_ms == 0;
}

} // namespace

target_incarnation_tracker::change
target_incarnation_tracker::report(target_status_report const & received)
{
    if (auto * const entry = this->find(received.id, received.started_ms))
    {
        bool const has_restarted = is_start_unknown(entry->report, received) &&
                                   is_startup(received) &&
                                   entry->report.state != target_state::ready &&
                                   !this->is_current(*entry);
        if (!has_restarted)
        {
            return this->update(*entry, received);
        }
    }
    else if (this->is_contradicted(received))
    {
        return this->add_doubtful(received);
    }
    if (!this->adopts && received.state == target_state::ready)
    {
        return change::declined;
    }
    return this->adopt(this->add(received));
}

target_incarnation_tracker::change
target_incarnation_tracker::update(known_incarnation & entry,
                                   target_status_report const & received)
{
    auto const before = entry.report;
    bool const is_late =
        received.sequence <= before.sequence && before.sequence != 0;
    if (before.state == target_state::removed || is_late)
    {
        return change::none;
    }
    auto const state = std::max(before.state, received.state);
    this->count_report(entry);
    if (entry.is_doubtful)
    {
        entry.report = received;
        entry.report.state = state;
        return this->update_doubtful(entry);
    }
    if (!this->is_current(entry))
    {
        if (this->is_contradicted(received))
        {
            return change::none;
        }
        if (!this->adopts && state == target_state::ready)
        {
            return change::declined;
        }
    }
    bool const was_current = this->is_current(entry);
    entry.report = received;
    entry.report.state = state;
    entry.start_was_reported = entry.start_was_reported || is_startup(received);
    if (!was_current)
    {
        return this->adopt(entry);
    }
    this->current_report = entry.report;
    return state == before.state ? change::refreshed : change::state_changed;
}

target_incarnation_tracker::change
target_incarnation_tracker::add_doubtful(target_status_report const & received)
{
    auto & entry = this->add(received);
    entry.is_doubtful = true;
    this->count_report(entry);
    bool const shares_id = this->current_report &&
                           this->current_report->id == received.id &&
                           this->current_report->state == target_state::ready;
    // it may be the one that runs, and cold
    return shares_id ? change::refreshed : change::none;
}

target_incarnation_tracker::change
target_incarnation_tracker::update_doubtful(known_incarnation & entry)
{
    bool const shares_id =
        this->current_report && this->current_report->id == entry.report.id;
    if (!shares_id || this->current_report->state != target_state::ready)
    {
        // waits for a health response that names it
        return change::none;
    }
    bool const is_proven = entry.uninterrupted_reports >= proving_reports;
    bool const is_leaving = entry.report.state != target_state::ready;
    if (is_proven)
    {
        this->replace_current(entry);
    }
    if (is_leaving)
    {
        // requests name the id only, so that the other one under it gets none
        // either until it reports again
        this->current_report = entry.report;
    }
    return is_leaving ? change::state_changed : change::refreshed;
}

void target_incarnation_tracker::replace_current(known_incarnation & entry)
{
    if (auto * const other = this->find(this->current_report->id,
                                        this->current_report->started_ms))
    {
        other->is_doubtful = true;
        other->uninterrupted_reports = 0;
    }
    entry.is_doubtful = false;
    this->current_report = entry.report;
}

target_incarnation_tracker::change
target_incarnation_tracker::record_health_response(target_id const & id,
                                                   std::uint32_t slots)
{
    auto * const proven = this->find_proven(id);
    if (this->current_report && this->current_report->id == id)
    {
        bool const is_successor =
            this->current_report->state != target_state::ready &&
            proven != nullptr && this->adopts;
        return is_successor ? this->adopt(*proven) : change::refreshed;
    }
    auto * const entry = this->is_leaving(id) ? proven : this->find_usable(id);
    bool const is_late = entry == nullptr && this->has_ended(id);
    if (is_late || slots == 0 || !this->adopts)
    {
        return change::none;
    }
    if (entry == nullptr)
    {
        bool const was_known = this->current_report.has_value();
        this->discard_current();
        return was_known ? change::lost : change::none;
    }
    entry->report.slots = slots;
    return this->adopt(*entry);
}

void target_incarnation_tracker::stop_adopting()
{
    this->adopts = false;
}

void target_incarnation_tracker::reset()
{
    bool const kept = this->adopts;
    *this = target_incarnation_tracker();
    this->adopts = kept;
}

bool target_incarnation_tracker::drain(target_id const & id)
{
    if (!this->current_report || this->current_report->id != id ||
        this->current_report->state != target_state::ready)
    {
        return false;
    }
    this->current_report->state = target_state::draining;
    this->find(id, this->current_report->started_ms)->report.state =
        target_state::draining;
    return true;
}

bool target_incarnation_tracker::restore(target_status_report const & stored)
{
    auto * entry = this->find(stored.id, stored.started_ms);
    if (entry == nullptr)
    {
        this->make_room();
        this->known.push_front({stored, false});
        entry = &this->known.front();
    }
    else if (is_start_unknown(entry->report, stored) &&
             entry->start_was_reported)
    {
        return false;
    }
    bool const was_current = this->is_current(*entry);
    bool const is_further = stored.state > entry->report.state;
    entry->report.state = std::max(entry->report.state, stored.state);
    if (was_current && entry->report.state != target_state::removed)
    {
        this->current_report = entry->report;
    }
    else if (stored.state != target_state::ready &&
             (was_current || !this->current_report))
    {
        this->current_report.reset();
        this->set_departed(entry->report);
    }
    return was_current && is_further;
}

bool target_incarnation_tracker::leave(target_id const & id,
                                       std::int64_t started_ms)
{
    auto * entry = this->find(id, started_ms);
    if (entry == nullptr)
    {
        target_status_report unknown;
        unknown.id = id;
        unknown.started_ms = started_ms;
        unknown.state = target_state::removed;
        entry = &this->add(unknown);
    }
    else if (entry->report.state == target_state::removed)
    {
        // a copy of an earlier message
        return false;
    }
    bool const was_current = this->is_current(*entry);
    entry->report.state = target_state::removed;
    // requests name the id only, so that one that may run under it gets none
    bool const shares_id =
        this->current_report && this->current_report->id == id &&
        (entry->is_doubtful ||
         is_earlier_start(*this->current_report, entry->report));
    if (this->current_report && !was_current && !shares_id)
    {
        return false;
    }
    bool const may_return = !was_current && entry->is_doubtful &&
                            entry->uninterrupted_reports < proving_reports;
    if (may_return)
    {
        this->discard_current();
    }
    else
    {
        this->end_current();
    }
    this->set_departed(entry->report);
    return true;
}

void target_incarnation_tracker::invalidate(target_id const & id)
{
    if (this->current_report && this->current_report->id == id)
    {
        this->discard_current();
    }
}

std::optional<target_status_report> const &
target_incarnation_tracker::current() const
{
    return this->current_report;
}

std::optional<target_status_report> const &
target_incarnation_tracker::departed() const
{
    return this->departed_report;
}

known_incarnation * target_incarnation_tracker::find(target_id const & id,
                                                     std::int64_t started_ms)
{
    known_incarnation * found = nullptr;
    for (auto & entry : this->known)
    {
        auto const & candidate = entry.report;
        if (candidate.id != id)
        {
            continue;
        }
        if (candidate.started_ms == started_ms && started_ms != 0)
        {
            return &entry;
        }
        if (candidate.started_ms == 0 || started_ms == 0)
        {
            found = &entry;
        }
    }
    return found;
}

known_incarnation *
target_incarnation_tracker::find_usable(target_id const & id)
{
    auto const found =
        std::find_if(this->known.rbegin(),
                     this->known.rend(),
                     [&id](auto const & entry)
                     {
                         return entry.report.id == id &&
                                entry.report.state != target_state::removed;
                     });
    return found == this->known.rend() ? nullptr : &*found;
}

bool target_incarnation_tracker::is_current(
    known_incarnation const & entry) const
{
    return this->current_report &&
           this->current_report->id == entry.report.id &&
           this->current_report->started_ms == entry.report.started_ms;
}

bool target_incarnation_tracker::is_contradicted(
    target_status_report const & received) const
{
    return std::any_of(
        this->known.begin(),
        this->known.end(),
        [&received](auto const & entry)
        {
            bool const is_restored = entry.report.sequence == 0 &&
                                     entry.report.state == target_state::ready;
            return !is_restored && is_earlier_start(received, entry.report);
        });
}

known_incarnation *
target_incarnation_tracker::find_proven(target_id const & id)
{
    auto const found =
        std::find_if(this->known.begin(),
                     this->known.end(),
                     [&id](auto const & entry)
                     {
                         return entry.report.id == id && entry.is_doubtful &&
                                entry.report.state == target_state::ready &&
                                entry.uninterrupted_reports >= proving_reports;
                     });
    return found == this->known.end() ? nullptr : &*found;
}

bool target_incarnation_tracker::is_leaving(target_id const & id) const
{
    return this->departed_report && this->departed_report->id == id;
}

void target_incarnation_tracker::count_report(known_incarnation & entry)
{
    for (auto & other : this->known)
    {
        if (&other != &entry && other.report.id == entry.report.id)
        {
            other.uninterrupted_reports = 0;
        }
    }
    entry.uninterrupted_reports += 1;
}

bool target_incarnation_tracker::has_ended(target_id const & id) const
{
    return std::any_of(this->known.begin(),
                       this->known.end(),
                       [&id](auto const & entry)
                       {
                           return entry.report.id == id &&
                                  entry.report.state == target_state::removed;
                       });
}

known_incarnation &
target_incarnation_tracker::add(target_status_report const & received)
{
    this->make_room();
    this->known.push_back({received, is_startup(received)});
    return this->known.back();
}

void target_incarnation_tracker::make_room()
{
    if (this->known.size() >= max_known_incarnations)
    {
        bool const is_first_current = this->is_current(this->known.front());
        this->known.erase(this->known.begin() + (is_first_current ? 1 : 0));
    }
}

target_incarnation_tracker::change
target_incarnation_tracker::adopt(known_incarnation & entry)
{
    this->end_current();
    entry.is_doubtful = false;
    for (auto & other : this->known)
    {
        if (is_earlier_start(other.report, entry.report))
        {
            other.report.state = target_state::removed;
        }
    }
    this->departed_report.reset();
    this->current_report = entry.report;
    return change::new_incarnation;
}

void target_incarnation_tracker::discard_current()
{
    if (this->current_report &&
        this->current_report->state != target_state::ready)
    {
        this->set_departed(*this->current_report);
    }
    this->current_report.reset();
}

void target_incarnation_tracker::set_departed(
    target_status_report const & departed)
{
    if (!this->departed_report ||
        !is_earlier_start(departed, *this->departed_report))
    {
        this->departed_report = departed;
    }
}

void target_incarnation_tracker::end_current()
{
    if (!this->current_report)
    {
        return;
    }
    if (auto * const ended = this->find(this->current_report->id,
                                        this->current_report->started_ms))
    {
        ended->report.state = target_state::removed;
    }
    this->current_report.reset();
}

} // namespace endivehinge
