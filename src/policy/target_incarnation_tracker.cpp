#include <endivehinge/policy/target_incarnation_tracker.hpp>

#include <algorithm> // any_of

namespace endivehinge
{
namespace
{

// runs at one address whose late reports are still recognised
constexpr std::size_t remembered_runs = 16;
// a run that starts anew under its id counts its reports anew
constexpr std::uint64_t first_reports = 2;

} // namespace

target_incarnation_tracker::change
target_incarnation_tracker::report(target_status_report const & said)
{
    bool const starts =
        said.sequence <= first_reports && said.state == target_state::ready;
    if (this->has_ended(said.id, said.started_ms, starts))
    {
        return change::none;
    }
    bool const same_run =
        this->known && this->known->id == said.id &&
        (this->known->started_ms == said.started_ms ||
         this->known->started_ms == 0 || said.started_ms == 0);
    if (!same_run)
    {
        if (this->known && said.started_ms != 0 &&
            said.started_ms < this->known->started_ms)
        {
            return change::none;
        }
        if (this->known)
        {
            this->note_ended(this->known->id, this->known->started_ms);
        }
        this->known = said;
        return change::new_incarnation;
    }
    if (said.sequence <= this->known->sequence && this->known->sequence != 0)
    {
        return change::none;
    }
    bool const drained = this->known->state != target_state::ready;
    bool const same_state = this->known->state == said.state;
    this->known = said;
    if (drained)
    {
        this->known->state = target_state::draining;
        return change::refreshed;
    }
    return same_state ? change::refreshed : change::state;
}

target_incarnation_tracker::change
target_incarnation_tracker::record_health_response(target_id const & id,
                                                   std::uint32_t slots)
{
    if (this->known && this->known->id == id)
    {
        return change::refreshed;
    }
    bool const left = std::any_of(this->ended.begin(),
                                  this->ended.end(),
                                  [&id](auto const & one)
                                  {
                                      return one.id == id;
                                  });
    if (left || slots == 0)
    {
        return change::none;
    }
    if (this->known)
    {
        this->note_ended(this->known->id, this->known->started_ms);
    }
    target_status_report found;
    found.id = id;
    found.slots = slots;
    this->known = found;
    return change::new_incarnation;
}

bool target_incarnation_tracker::leave(target_id const & id)
{
    if (!this->known || this->known->id != id)
    {
        this->note_ended(id, 0);
        return false;
    }
    this->note_ended(id, this->known->started_ms);
    this->known.reset();
    return true;
}

void target_incarnation_tracker::invalidate(target_id const & id)
{
    if (this->known && this->known->id == id)
    {
        this->known.reset();
    }
}

std::optional<target_status_report> const &
target_incarnation_tracker::current() const
{
    return this->known;
}

bool target_incarnation_tracker::has_ended(target_id const & id,
                                           std::int64_t started_ms,
                                           bool starts) const
{
    return std::any_of(
        this->ended.begin(),
        this->ended.end(),
        [&id, started_ms, starts](auto const & one)
        {
            bool const unstated = one.started_ms == 0 || started_ms == 0;
            return one.id == id &&
                   (unstated ? !starts : started_ms <= one.started_ms);
        });
}

void target_incarnation_tracker::note_ended(target_id const & id,
                                            std::int64_t started_ms)
{
    this->ended.push_back({id, started_ms});
    if (this->ended.size() > remembered_runs)
    {
        this->ended.pop_front();
    }
}

} // namespace endivehinge
