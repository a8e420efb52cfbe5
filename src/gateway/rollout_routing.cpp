#include <endivehinge/detail/gateway/rollout_routing.hpp>

#include <algorithm> // all_of, find

#include <endivehinge/policy/rollout_trial_targets.hpp>

namespace endivehinge::detail
{

rollout_routing::rollout_routing(fleet_view const & known_fleet,
                                 duration configuration_delay)
    : fleet(known_fleet)
    , hold_time(configuration_delay)
{
}

std::vector<target_entry const *>
rollout_routing::filter(service_name const & service,
                        std::vector<target_entry const *> const & candidates,
                        double draw,
                        time_point now)
{
    auto const & state = this->refresh(service, now);
    auto const entry = this->entry_of(service);
    auto const choice =
        state.filter.choose(entry, draw, this->filter_time(now));
    bool const is_trial = entry && state_of(*entry) == rollout_state::running &&
                          entry->status->stage == rollout_stage::trial;
    auto const targets_of = [&](std::vector<software_version> const & versions)
    {
        std::vector<target_entry const *> chosen;
        for (auto const * const target : candidates)
        {
            bool const is_version =
                std::find(versions.begin(), versions.end(), target->version) !=
                versions.end();
            // other new targets have no grants
            bool const is_offered =
                !is_trial || target->version != entry->order.target_version ||
                state.trial_nodes.contains(target->node);
            if (is_version && is_offered)
            {
                chosen.push_back(target);
            }
        }
        return chosen;
    };
    auto chosen = targets_of(choice.first);
    return chosen.empty() ? targets_of(choice.fallback) : chosen;
}

bool rollout_routing::allows(service_name const & service,
                             software_version const & version,
                             time_point now)
{
    return this->refresh(service, now)
        .filter.allows(
            this->entry_of(service), version, this->filter_time(now));
}

bool rollout_routing::is_sole(service_name const & service,
                              software_version const & version) const
{
    auto const targets = this->fleet.ready_targets(service);
    return std::all_of(targets.begin(),
                       targets.end(),
                       [&version](auto const * target)
                       {
                           return target->version == version;
                       });
}

std::optional<rollout_entry>
rollout_routing::entry_of(service_name const & service) const
{
    auto const * const known = this->fleet.find_rollout(service);
    return known != nullptr ? std::optional(known->entry) : std::nullopt;
}

rollout_routing::service_state &
rollout_routing::refresh(service_name const & service, time_point now)
{
    auto & state =
        this->services
            .try_emplace(
                service,
                service_state{
                    rollout_version_filter(this->hold_time), 0, false, {}})
            .first->second;
    if (state.knew_rollouts != this->fleet.knows_rollouts())
    {
        // the hold time of versions counts from here
        state.filter = rollout_version_filter(this->hold_time);
        state.knew_rollouts = this->fleet.knows_rollouts();
        state.change = 0;
    }
    if (state.change == this->fleet.change_count())
    {
        return state;
    }
    state.change = this->fleet.change_count();
    std::vector<software_version> versions;
    for (auto const * const target : this->fleet.ready_targets(service))
    {
        versions.push_back(target->version);
    }
    state.filter.set_targets(versions, this->filter_time(now));
    this->choose_trial_nodes(service, state);
    return state;
}

void rollout_routing::choose_trial_nodes(service_name const & service,
                                         service_state & state) const
{
    state.trial_nodes.clear();
    auto const * const known = this->fleet.find_rollout(service);
    if (known == nullptr)
    {
        return;
    }
    auto const & version = known->entry.order.target_version;
    std::vector<node_name> new_nodes;
    std::size_t old_targets = 0;
    for (auto const * const target : this->fleet.ready_targets(service))
    {
        if (target->version == version)
        {
            new_nodes.push_back(target->node);
        }
        else
        {
            old_targets += 1;
        }
    }
    for (auto const & node : choose_rollout_trial_targets(
             version, std::move(new_nodes), old_targets))
    {
        state.trial_nodes.insert(node);
    }
}

time_point rollout_routing::filter_time(time_point now) const
{
    return this->fleet.knows_rollouts() ? now : time_point();
}

} // namespace endivehinge::detail
