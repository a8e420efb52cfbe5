#include <endivehinge/detail/gateway/fleet_view.hpp>

#include <algorithm> // max
#include <utility>   // move

namespace endivehinge::detail
{

bool fleet_view::set_configuration(configuration_pointer candidate)
{
    if (this->active_configuration &&
        candidate->version <= this->active_configuration->version)
    {
        return false;
    }
    this->active_configuration = std::move(candidate);
    return true;
}

fleet_view::configuration_pointer const & fleet_view::configuration() const
{
    return this->active_configuration;
}

void fleet_view::set_evacuated(absl::flat_hash_set<failure_domain> domains)
{
    this->evacuated = std::move(domains);
    this->changes += 1;
}

absl::flat_hash_set<failure_domain> const &
fleet_view::evacuated_domains() const
{
    return this->evacuated;
}

bool fleet_view::is_evacuated(failure_domain const & domain) const
{
    return this->evacuated.contains(domain);
}

void fleet_view::set_target(target_entry const & entry)
{
    if (entry.state == target_state::removed)
    {
        // kept in the store for the next process of that node only
        this->remove_target(entry.node);
        return;
    }
    this->targets[entry.node] = std::make_unique<target_entry>(entry);
    this->changes += 1;
}

void fleet_view::remove_target(node_name const & node)
{
    this->changes += this->targets.erase(node);
}

void fleet_view::set_rollout(known_rollout const & rollout)
{
    auto const & service = rollout.entry.order.service;
    auto const known = this->rollouts_by_service.find(service);
    if (known != this->rollouts_by_service.end() &&
        rollout.entry.version < known->second.entry.version)
    {
        return;
    }
    this->rollouts_by_service[service] = rollout;
    this->changes += 1;
}

void fleet_view::remove_rollout(service_name const & service)
{
    this->rollouts_by_service.erase(service);
    this->changes += 1;
}

known_rollout const *
fleet_view::find_rollout(service_name const & service) const
{
    auto const found = this->rollouts_by_service.find(service);
    return found == this->rollouts_by_service.end() ? nullptr : &found->second;
}

absl::btree_map<service_name, known_rollout> const &
fleet_view::rollouts() const
{
    return this->rollouts_by_service;
}

void fleet_view::set_rollouts_known()
{
    this->changes += this->rollouts_received ? 0 : 1;
    this->rollouts_received = true;
}

bool fleet_view::knows_rollouts() const
{
    return this->rollouts_received;
}

std::vector<target_entry const *>
fleet_view::ready_targets(service_name const & service) const
{
    std::vector<target_entry const *> matches;
    for (auto const & [node, entry] : this->targets)
    {
        if (entry->service == service && entry->state == target_state::ready &&
            !this->is_evacuated(entry->domain))
        {
            matches.push_back(entry.get());
        }
    }
    return matches;
}

std::vector<target_entry const *>
fleet_view::targets_in(failure_domain const & domain) const
{
    std::vector<target_entry const *> matches;
    for (auto const & [node, entry] : this->targets)
    {
        if (entry->domain == domain)
        {
            matches.push_back(entry.get());
        }
    }
    return matches;
}

std::vector<target_entry const *>
fleet_view::targets_except(node_name const & node) const
{
    std::vector<target_entry const *> matches;
    for (auto const & [name, entry] : this->targets)
    {
        if (name != node)
        {
            matches.push_back(entry.get());
        }
    }
    return matches;
}

std::uint64_t fleet_view::change_count() const
{
    return this->changes;
}

std::size_t fleet_view::node_count() const
{
    return std::max<std::size_t>(this->targets.size(), 1);
}

} // namespace endivehinge::detail
