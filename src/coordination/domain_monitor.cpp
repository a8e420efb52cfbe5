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
                                                 member_index except,
                                                 absl::BitGenRef random)
{
    std::vector<member_index> found;
    std::size_t const size = domain.members.size();
    if (size == 0)
    {
        return found;
    }
    // one after the other from a random place: each at most once
    auto const first = absl::Uniform<std::size_t>(random, 0, size);
    std::size_t const stride = std::max<std::size_t>(1, size / (count + 1));
    for (std::size_t offset = 0; offset < stride; ++offset)
    {
        for (std::size_t i = offset; i < size; i += stride)
        {
            member_index const index = domain.members[(first + i) % size];
            if (index == except || !table.at(index).present())
            {
                continue;
            }
            found.push_back(index);
            if (found.size() >= count)
            {
                return found;
            }
        }
    }
    return found;
}

} // namespace endivehinge
