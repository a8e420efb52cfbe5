#include <endivehinge/detail/gateway/fleet_view.hpp>

#include <algorithm> // max
#include <utility>   // move

namespace endivehinge::detail
{

bool fleet_view::set_configuration(configuration_pointer newer)
{
    if (this->current && newer->version <= this->current->version)
    {
        return false;
    }
    this->current = std::move(newer);
    return true;
}

fleet_view::configuration_pointer const & fleet_view::configuration() const
{
    return this->current;
}

void fleet_view::set_evacuated(absl::flat_hash_set<failure_domain> domains)
{
    this->evacuated = std::move(domains);
}

bool fleet_view::is_evacuated(failure_domain const & domain) const
{
    return this->evacuated.contains(domain);
}

void fleet_view::set_target(target_entry const & entry)
{
    this->targets[entry.node] = std::make_unique<target_entry>(entry);
}

void fleet_view::remove_target(node_name const & node)
{
    this->targets.erase(node);
}

void fleet_view::retain_targets(absl::flat_hash_set<node_name> const & nodes)
{
    absl::erase_if(this->targets,
                   [&nodes](auto const & one)
                   {
                       return !nodes.contains(one.first);
                   });
}

std::vector<target_entry const *>
fleet_view::ready_targets(service_name const & service) const
{
    std::vector<target_entry const *> found;
    for (auto const & [node, entry] : this->targets)
    {
        if (entry->service == service && entry->state == target_state::ready &&
            !this->is_evacuated(entry->domain))
        {
            found.push_back(entry.get());
        }
    }
    return found;
}

std::size_t fleet_view::node_count() const
{
    return std::max<std::size_t>(this->targets.size(), 1);
}

} // namespace endivehinge::detail
