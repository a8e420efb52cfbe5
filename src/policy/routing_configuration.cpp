#include <endivehinge/policy/routing_configuration.hpp>

#include <algorithm> // find_if, lower_bound, sort
#include <utility>   // move

#include <absl/strings/match.h> // EqualsIgnoreCase

namespace endivehinge
{
namespace
{

absl::string_view as_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

service_route const *
routing_configuration::find_route(std::string_view host,
                                  std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    service_route const * best = nullptr;
    for (auto const & route : this->routes)
    {
        bool const matches =
            absl::EqualsIgnoreCase(route.host, as_absl(host)) &&
            path.substr(0, route.path_prefix.size()) == route.path_prefix;
        if (matches && (best == nullptr ||
                        route.path_prefix.size() > best->path_prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

service_properties const *
routing_configuration::find_service(service_name const & name) const
{
    auto const found = std::find_if(this->services.begin(),
                                    this->services.end(),
                                    [&name](auto const & service)
                                    {
                                        return service.name == name;
                                    });
    return found == this->services.end() ? nullptr : &*found;
}

bool routing_configuration::set_accounts(
    std::vector<client_account> new_accounts, failure & reason)
{
    std::sort(new_accounts.begin(),
              new_accounts.end(),
              [](auto const & a, auto const & b)
              {
                  return a.name < b.name;
              });
    auto built = account_directory::build(new_accounts, reason);
    if (!built)
    {
        return false;
    }
    this->directory = std::move(*built);
    this->accounts = std::move(new_accounts);
    this->requires_accounts = true;
    return true;
}

client_account const *
routing_configuration::find_account_of_key(std::string const & key) const
{
    return this->directory.find(this->accounts, key);
}

client_account const *
routing_configuration::find_account_of_key(account_key_digest digest) const
{
    return this->directory.find(this->accounts, digest);
}

client_account const *
routing_configuration::find_account(account_name const & name) const
{
    auto const found =
        std::lower_bound(this->accounts.begin(),
                         this->accounts.end(),
                         name,
                         [](auto const & account, account_name const & wanted)
                         {
                             return account.name < wanted;
                         });
    return found == this->accounts.end() || found->name != name ? nullptr
                                                                : &*found;
}

} // namespace endivehinge
