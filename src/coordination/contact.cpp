#include <endivehinge/coordination/contact.hpp>

namespace endivehinge
{
namespace
{

bool is_lost(contact const & listed,
             membership const & known,
             bool doubt_unknown)
{
    auto const state = known.state_of(listed.name);
    return state.has_value() ? is_removed(*state) : doubt_unknown;
}

} // namespace

std::optional<std::vector<contact>>
plan_contacts(std::vector<contact> const & listed,
              membership const & known,
              bool doubt_unknown)
{
    member const & self = known.self();
    std::vector<contact> kept;
    for (auto const & each : listed)
    {
        bool const is_self = each.name == self.name;
        if (is_self && each.incarnation_number == self.incarnation_number &&
            each.control_address == self.control_address)
        {
            return std::nullopt;
        }
        if (!is_self && !is_lost(each, known, doubt_unknown))
        {
            kept.push_back(each);
        }
    }
    if (kept.size() >= max_contacts_per_domain)
    {
        return std::nullopt;
    }
    kept.push_back({self.name, self.incarnation_number, self.control_address});
    return kept;
}

} // namespace endivehinge
