#include <endivehinge/policy/rollout_version_filter.hpp>

#include <algorithm> // count, count_if, find
#include <iterator>  // next

#include <endivehinge/policy/rollout_schedule.hpp>
#include <endivehinge/policy/rollout_trial_targets.hpp>

namespace endivehinge
{
namespace
{

// Versions that the status forbids, whatever the state of the present order.
bool is_forbidden(rollout_entry const & entry, software_version const & version)
{
    if (!entry.status)
    {
        return false;
    }
    auto const & status = *entry.status;
    if (std::count(status.excluded.begin(), status.excluded.end(), version) > 0)
    {
        return true;
    }
    if (status.target_version == entry.order.target_version)
    {
        return status.state == rollout_state::completed;
    }
    // the status belongs to an earlier order
    return status.state == rollout_state::completed
               ? version != status.target_version
               : version == status.target_version;
}

} // namespace

rollout_version_filter::rollout_version_filter(duration configuration_delay)
    : hold_time(configuration_delay)
{
}

void rollout_version_filter::set_targets(
    std::vector<software_version> const & ready, time_point now)
{
    bool const is_start = this->versions.empty();
    for (auto known = this->versions.begin(); known != this->versions.end();)
    {
        known->second.targets = 0;
        bool const is_gone =
            !known->second.established &&
            std::find(ready.begin(), ready.end(), known->first) == ready.end();
        known = is_gone ? this->versions.erase(known) : std::next(known);
    }
    for (auto const & version : ready)
    {
        auto const [known, is_new] =
            this->versions.try_emplace(version, known_version{0, now, false});
        ++known->second.targets;
    }
    for (auto & [version, known] : this->versions)
    {
        known.established = known.established || this->is_sole(version);
    }
    if (is_start)
    {
        this->establish_majority();
    }
}

void rollout_version_filter::establish_majority()
{
    known_version * most = nullptr;
    for (auto & [version, known] : this->versions)
    {
        if (most == nullptr || known.targets > most->targets)
        {
            most = &known;
        }
    }
    if (most != nullptr)
    {
        most->established = true;
    }
}

bool rollout_version_filter::is_present(software_version const & version) const
{
    auto const known = this->versions.find(version);
    return known != this->versions.end() && known->second.targets > 0;
}

bool rollout_version_filter::is_sole(software_version const & version) const
{
    return this->is_present(version) &&
           std::count_if(this->versions.begin(),
                         this->versions.end(),
                         [](auto const & known)
                         {
                             return known.second.targets > 0;
                         }) == 1;
}

bool rollout_version_filter::is_held(known_version const & version,
                                     time_point now) const
{
    return !version.established && now - version.first_seen < this->hold_time;
}

std::vector<software_version>
rollout_version_filter::old_versions(std::optional<rollout_entry> const & entry,
                                     time_point now) const
{
    std::vector<software_version> allowed;
    for (auto const & [version, known] : this->versions)
    {
        if (known.targets == 0 || this->is_held(known, now))
        {
            continue;
        }
        if (entry && (version == entry->order.target_version ||
                      is_forbidden(*entry, version)))
        {
            continue;
        }
        allowed.push_back(version);
    }
    return allowed;
}

double rollout_version_filter::share_of(rollout_entry const & entry) const
{
    if (entry.status->share > 0)
    {
        return entry.status->share;
    }
    std::size_t new_targets = 0;
    std::size_t old_targets = 0;
    for (auto const & [version, known] : this->versions)
    {
        (version == entry.order.target_version ? new_targets : old_targets) +=
            known.targets;
    }
    return rollout_trial_share(
        count_rollout_trial_targets(new_targets, old_targets), old_targets);
}

rollout_version_choice
rollout_version_filter::choose(std::optional<rollout_entry> const & entry,
                               double random,
                               time_point now) const
{
    auto old = this->old_versions(entry, now);
    if (!entry)
    {
        return {old, {}};
    }
    auto const & target = entry->order.target_version;
    auto const state = state_of(*entry);
    if (state == rollout_state::completed)
    {
        return {{target}, {}};
    }
    if (state == rollout_state::rolled_back)
    {
        return {old, {}};
    }
    if (this->is_sole(target))
    {
        // an order for the version that all targets run
        return {{target}, {}};
    }
    if (state == rollout_state::none || !this->is_present(target))
    {
        return {old, {}};
    }
    if (old.empty() || random < this->share_of(*entry))
    {
        return {{target}, old};
    }
    if (entry->status->stage == rollout_stage::trial)
    {
        return {old, {}};
    }
    return {old, {target}};
}

bool rollout_version_filter::allows(std::optional<rollout_entry> const & entry,
                                    software_version const & version,
                                    time_point now) const
{
    auto const contains =
        [&version](std::vector<software_version> const & allowed)
    {
        return std::find(allowed.begin(), allowed.end(), version) !=
               allowed.end();
    };
    // with 0, the new version comes first if it gets anything at all
    auto const choice = this->choose(entry, 0, now);
    return contains(choice.first) || contains(choice.fallback);
}

} // namespace endivehinge
