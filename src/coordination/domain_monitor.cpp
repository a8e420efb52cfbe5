#include <endivehinge/coordination/domain_monitor.hpp>

#include <algorithm> // find

#include <absl/random/distributions.h> // Uniform

namespace endivehinge
{

void domain_monitor::add(failure_domain const & domain, member_index index)
{
    this->domains[domain].members.push_back(index);
}

void domain_monitor::remove(failure_domain const & domain, member_index index)
{
    auto & members = this->domains[domain].members;
    auto const found = std::find(members.begin(), members.end(), index);
    if (found != members.end())
    {
        *found = members.back();
        members.pop_back();
    }
}

domain_status & domain_monitor::status(failure_domain const & domain)
{
    return this->domains[domain];
}

domain_monitor::domain_map & domain_monitor::all()
{
    return this->domains;
}

std::vector<member_index> domain_monitor::sample(domain_status const & domain,
                                                 member_table const & table,
                                                 std::size_t count,
                                                 member_index excluded,
                                                 absl::BitGenRef random)
{
    std::vector<member_index> sampled;
    std::size_t const size = domain.members.size();
    if (size == 0)
    {
        return sampled;
    }
    // Walks the members in strides from a random start, so that the sample is
    // spread over the list and no member occurs twice.
    auto const start = absl::Uniform<std::size_t>(random, 0, size);
    std::size_t const stride = std::max<std::size_t>(1, size / (count + 1));
    for (std::size_t offset = 0; offset < stride; ++offset)
    {
        for (std::size_t i = offset; i < size; i += stride)
        {
            member_index const index = domain.members[(start + i) % size];
            if (index == excluded || !table.at(index).is_active())
            {
                continue;
            }
            sampled.push_back(index);
            if (sampled.size() >= count)
            {
                return sampled;
            }
        }
    }
    return sampled;
}

} // namespace endivehinge
