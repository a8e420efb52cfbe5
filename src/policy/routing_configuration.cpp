#include <endivehinge/policy/routing_configuration.hpp>

#include <algorithm> // find_if

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

} // namespace endivehinge
