#include <endivehinge/policy/target_incarnation_tracker.hpp>

#include <algorithm> // any_of, find

namespace endivehinge
{
namespace
{

// ended incarnations whose late reports are still recognised
constexpr std::size_t max_ended_incarnations = 16;
// incarnations that a health response may name; more than a target has within
// the delay of a report
constexpr std::size_t max_known_ids = 16;
// highest report sequence that identifies a new incarnation under a reused id
// if no start time is known; each incarnation restarts the sequence
constexpr std::uint64_t last_startup_sequence = 2;

} // namespace

target_incarnation_tracker::change
target_incarnation_tracker::report(target_status_report const & received)
{
    bool const is_startup = received.sequence <= last_startup_sequence &&
                            received.state == target_state::ready;
    if (is_startup && this->restored_leaving_id == received.id)
    {
        // a new incarnation under the same id
        this->restored_leaving_id.reset();
    }
    if (this->has_ended(received.id, received.started_ms, is_startup))
    {
        return change::none;
    }
    bool const same_incarnation =
        this->current_report && this->current_report->id == received.id &&
        (this->current_report->started_ms == received.started_ms ||
         this->current_report->started_ms == 0 || received.started_ms == 0);
    if (!same_incarnation)
    {
        if (this->current_report && received.started_ms != 0 &&
            received.started_ms < this->current_report->started_ms)
        {
            return change::none;
        }
        if (!this->adopts)
        {
            return change::declined;
        }
        if (this->current_report)
        {
            this->record_ended(this->current_report->id,
                               this->current_report->started_ms);
        }
        this->record_known(received.id);
        this->current_report = received;
        this->start_was_reported = is_startup;
        this->apply_restored_state();
        return change::new_incarnation;
    }
    if (received.sequence <= this->current_report->sequence &&
        this->current_report->sequence != 0)
    {
        return change::none;
    }
    bool const was_draining =
        this->current_report->state != target_state::ready;
    bool const same_state = this->current_report->state == received.state;
    this->current_report = received;
    if (was_draining)
    {
        this->current_report->state = target_state::draining;
        return change::refreshed;
    }
    return same_state ? change::refreshed : change::state_changed;
}

target_incarnation_tracker::change
target_incarnation_tracker::record_health_response(target_id const & id,
                                                   std::uint32_t slots)
{
    if (this->current_report && this->current_report->id == id)
    {
        return change::refreshed;
    }
    if (this->has_ended(id) || slots == 0 || !this->adopts)
    {
        return change::none;
    }
    if (!this->is_known(id))
    {
        bool const was_known = this->current_report.has_value();
        this->current_report.reset();
        return was_known ? change::lost : change::none;
    }
    if (this->current_report)
    {
        this->record_ended(this->current_report->id,
                           this->current_report->started_ms);
    }
    target_status_report inferred;
    inferred.id = id;
    inferred.slots = slots;
    this->current_report = inferred;
    this->start_was_reported = false;
    this->apply_restored_state();
    return change::new_incarnation;
}

bool target_incarnation_tracker::drain(target_id const & id)
{
    if (!this->current_report || this->current_report->id != id ||
        this->current_report->state != target_state::ready)
    {
        return false;
    }
    this->current_report->state = target_state::draining;
    return true;
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

bool target_incarnation_tracker::restore(target_id const & id,
                                         target_state state)
{
    this->record_known(id);
    if (state == target_state::ready)
    {
        return false;
    }
    this->restored_leaving_id = id;
    bool const was_ready = this->current_report &&
                           this->current_report->state == target_state::ready;
    this->apply_restored_state();
    return was_ready && this->current_report->state != target_state::ready;
}

void target_incarnation_tracker::apply_restored_state()
{
    if (this->current_report && !this->start_was_reported &&
        this->restored_leaving_id == this->current_report->id &&
        this->current_report->state == target_state::ready)
    {
        this->current_report->state = target_state::draining;
    }
}

bool target_incarnation_tracker::leave(target_id const & id)
{
    if (!this->current_report || this->current_report->id != id)
    {
        this->record_ended(id, 0);
        return false;
    }
    this->record_ended(id, this->current_report->started_ms);
    this->current_report.reset();
    return true;
}

void target_incarnation_tracker::invalidate(target_id const & id)
{
    if (this->current_report && this->current_report->id == id)
    {
        this->current_report.reset();
    }
}

std::optional<target_status_report> const &
target_incarnation_tracker::current() const
{
    return this->current_report;
}

bool target_incarnation_tracker::has_ended(target_id const & id,
                                           std::int64_t started_ms,
                                           bool is_startup) const
{
    return std::any_of(
        this->ended_incarnations.begin(),
        this->ended_incarnations.end(),
        [&id, started_ms, is_startup](auto const & entry)
        {
            bool const start_unknown = entry.started_ms == 0 || started_ms == 0;
            return entry.id == id &&
                   (start_unknown ? !is_startup
                                  : started_ms <= entry.started_ms);
        });
}

bool target_incarnation_tracker::has_ended(target_id const & id) const
{
    return std::any_of(this->ended_incarnations.begin(),
                       this->ended_incarnations.end(),
                       [&id](auto const & entry)
                       {
                           return entry.id == id;
                       });
}

bool target_incarnation_tracker::is_known(target_id const & id) const
{
    return std::find(this->known_ids.begin(), this->known_ids.end(), id) !=
           this->known_ids.end();
}

void target_incarnation_tracker::record_known(target_id const & id)
{
    if (this->is_known(id))
    {
        return;
    }
    this->known_ids.push_back(id);
    if (this->known_ids.size() > max_known_ids)
    {
        this->known_ids.pop_front();
    }
}

void target_incarnation_tracker::record_ended(target_id const & id,
                                              std::int64_t started_ms)
{
    this->ended_incarnations.push_back({id, started_ms});
    if (this->ended_incarnations.size() > max_ended_incarnations)
    {
        this->ended_incarnations.pop_front();
    }
}

} // namespace endivehinge
