#include <endivehinge/coordination/configuration.hpp>

#include <absl/strings/match.h> // StartsWith

namespace endivehinge
{

route_rule const * service_configuration::match(std::string const & method,
                                                std::string const & path) const
{
    for (auto const & rule : this->routes)
    {
        bool const matches_method =
            rule.method.empty() || rule.method == method;
        if (matches_method && absl::StartsWith(path, rule.path_prefix))
        {
            return &rule;
        }
    }
    return nullptr;
}

service_configuration const *
configuration::find(service_name const & name) const
{
    for (auto const & service : this->services)
    {
        if (service.name == name)
        {
            return &service;
        }
    }
    return nullptr;
}

bool configuration::is_drained(failure_domain const & domain,
                               node_name const & node) const
{
    return this->drained_domains.contains(domain) ||
           this->drained_targets.contains(node);
}

} // namespace endivehinge
