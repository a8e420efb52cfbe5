#include <endivehinge/coordination/remaining_capacity.hpp>

#include <absl/container/btree_map.h> // btree_map

namespace endivehinge
{

std::vector<service_capacity>
remaining_capacity(std::vector<member> const & members,
                   configuration const & before,
                   configuration const & after)
{
    absl::btree_map<service_name, service_capacity> services;
    for (auto const & entry : members)
    {
        if (!entry.accepts_work || entry.state != member_state::alive ||
            before.is_drained(entry.domain, entry.name))
        {
            continue;
        }
        service_capacity & capacity = services[entry.service];
        capacity.service = entry.service;
        ++capacity.targets_before;
        capacity.slots_before += entry.slots;
        if (!after.is_drained(entry.domain, entry.name))
        {
            ++capacity.targets_after;
            capacity.slots_after += entry.slots;
        }
    }
    std::vector<service_capacity> reduced;
    for (auto const & [name, capacity] : services)
    {
        if (capacity.targets_after < capacity.targets_before)
        {
            reduced.push_back(capacity);
        }
    }
    return reduced;
}

} // namespace endivehinge
