#include <endivehinge/coordination/contact.hpp>

namespace endivehinge
{
namespace
{

bool is_stale(contact const & listed,
              membership const & members,
              bool drop_unknown)
{
    auto const state = members.state_of(listed.name);
    return state.has_value() ? is_removed(*state) : drop_unknown;
}

} // namespace

std::optional<std::vector<contact>>
plan_contacts(std::vector<contact> const & listed,
              membership const & members,
              bool drop_unknown)
{
    member const & self = members.self();
    std::vector<contact> updated;
    for (auto const & entry : listed)
    {
        bool const is_self = entry.name == self.name;
        if (is_self && entry.incarnation_number == self.incarnation_number &&
            entry.control_address == self.control_address)
        {
            return std::nullopt;
        }
        if (!is_self && !is_stale(entry, members, drop_unknown))
        {
            updated.push_back(entry);
        }
    }
    if (updated.size() >= max_contacts_per_domain)
    {
        return std::nullopt;
    }
    updated.push_back(
        {self.name, self.incarnation_number, self.control_address});
    return updated;
}

} // namespace endivehinge
