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
    for (auto const & one : members)
    {
        if (!one.accepts_work || one.state != member_state::alive ||
            before.is_drained(one.domain, one.name))
        {
            continue;
        }
        service_capacity & capacity = services[one.service];
        capacity.service = one.service;
        ++capacity.targets_before;
        capacity.slots_before += one.slots;
        if (!after.is_drained(one.domain, one.name))
        {
            ++capacity.targets_after;
            capacity.slots_after += one.slots;
        }
    }
    std::vector<service_capacity> losing;
    for (auto const & [name, capacity] : services)
    {
        if (capacity.targets_after < capacity.targets_before)
        {
            losing.push_back(capacity);
        }
    }
    return losing;
}

} // namespace endivehinge
