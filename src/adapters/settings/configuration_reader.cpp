#include <endivehinge/detail/settings/yaml_reader.hpp>

#include <algorithm> // find
#include <vector>    // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/strings/match.h>           // StartsWith
#include <absl/strings/str_cat.h>         // StrCat
#include <absl/strings/str_join.h>        // StrJoin
#include <yaml-cpp/yaml.h>                // Load, Mark

#include "yaml_fields.hpp"

namespace endivehinge::detail
{
namespace
{

constexpr field_bounds<std::int64_t> deadline_bounds_ms{1, 600'000};
constexpr field_bounds<std::int64_t> window_bounds_s{1, 86'400};
constexpr field_bounds<double> share_bounds{0, 1};
// at 1, no error would be left to spend and the burn has no meaning
constexpr field_bounds<double> objective_bounds{0, 0.999999};
constexpr field_bounds<double> measurement_bounds{0.1, 100};
constexpr std::size_t most_services = 4096;
constexpr std::size_t most_routes = 256;

// a service as read, with the places that errors point to
struct placed_service
{
    service_configuration service;
    YAML::Mark mark;
    std::string path;
    std::vector<YAML::Mark> dependency_marks;
};

priority read_priority(yaml_fields & fields, priority fallback)
{
    auto const found = fields.find("priority");
    if (!found.has_value())
    {
        return fallback;
    }
    auto const text = read_identifier(*found, fields.path_of("priority"));
    for (auto const candidate :
         {priority::internal_check, priority::interactive, priority::batch})
    {
        if (text == to_string(candidate))
        {
            return candidate;
        }
    }
    throw yaml_error(found->Mark(),
                     fields.path_of("priority"),
                     absl::StrCat("is '", text, "'"),
                     "write internal_check, interactive or batch");
}

route_rule read_route(YAML::Node const & node,
                      std::string const & path,
                      service_name const & service)
{
    yaml_fields fields(node, path);
    route_rule rule;
    rule.method = fields.text("method", "");
    YAML::Node const prefix = fields.require("path");
    rule.path_prefix = fields.text("path", "");
    rule.repeatable = fields.flag("repeatable", false);
    rule.urgency = read_priority(fields, rule.urgency);
    rule.deadline = fields.milliseconds("deadline_ms", deadline_bounds_ms);
    fields.finish();
    // the first segment of a path names the service, so no other can match
    std::string const first = absl::StrCat("/", service.value());
    if (rule.path_prefix != first &&
        !absl::StartsWith(rule.path_prefix, absl::StrCat(first, "/")))
    {
        throw yaml_error(prefix.Mark(),
                         fields.path_of("path"),
                         absl::StrCat("is '", rule.path_prefix, "'"),
                         absl::StrCat("begin it with ", first, "/"));
    }
    return rule;
}

// the first route that matches counts, so a later one may never be reached
void check_reached(YAML::Node const & node,
                   std::string const & path,
                   route_rule const & rule,
                   std::vector<route_rule> const & earlier)
{
    for (std::size_t i = 0; i < earlier.size(); ++i)
    {
        bool const covers_method =
            earlier[i].method.empty() || earlier[i].method == rule.method;
        if (covers_method &&
            absl::StartsWith(rule.path_prefix, earlier[i].path_prefix))
        {
            throw yaml_error(node.Mark(),
                             path,
                             absl::StrCat("is never reached, as route ",
                                          i,
                                          " matches all of it"),
                             "put it before that one or take it out");
        }
    }
}

void read_routes(yaml_fields & fields, service_configuration & service)
{
    auto const node = fields.find("routes");
    if (!node.has_value())
    {
        return;
    }
    auto const elements = read_list(*node, fields.path_of("routes"));
    if (elements.size() > most_routes)
    {
        throw yaml_error(node->Mark(),
                         fields.path_of("routes"),
                         "is too long",
                         absl::StrCat("give at most ", most_routes));
    }
    for (std::size_t i = 0; i < elements.size(); ++i)
    {
        auto rule =
            read_route(elements[i],
                       absl::StrCat(fields.path_of("routes"), "[", i, "]"),
                       service.name);
        check_reached(elements[i],
                      absl::StrCat(fields.path_of("routes"), "[", i, "]"),
                      rule,
                      service.routes);
        service.routes.push_back(std::move(rule));
    }
}

void read_objective(yaml_fields & fields, service_objective & objective)
{
    auto const node = fields.find("objective");
    if (!node.has_value())
    {
        return;
    }
    yaml_fields inner(*node, fields.path_of("objective"));
    objective.target_share =
        inner.number("target_share", objective.target_share, objective_bounds);
    objective.latency = inner.milliseconds("latency_ms", deadline_bounds_ms)
                            .value_or(objective.latency);
    inner.finish();
}

void read_dependencies(yaml_fields & fields, placed_service & placed)
{
    auto const node = fields.find("depends_on");
    if (!node.has_value())
    {
        return;
    }
    std::string const path = fields.path_of("depends_on");
    auto & names = placed.service.depends_on;
    for (auto const & element : read_list(*node, path))
    {
        service_name const name(read_identifier(element, path));
        if (std::find(names.begin(), names.end(), name) != names.end())
        {
            throw yaml_error(element.Mark(),
                             path,
                             absl::StrCat("names '", name.value(), "' twice"),
                             "keep one of them");
        }
        names.push_back(name);
        placed.dependency_marks.push_back(element.Mark());
    }
}

placed_service read_service(YAML::Node const & node, std::string const & path)
{
    yaml_fields fields(node, path);
    placed_service placed;
    auto & service = placed.service;
    placed.mark = node.Mark();
    placed.path = path;
    service.name = service_name(fields.identifier("name"));
    read_dependencies(fields, placed);
    service.deadline = fields.milliseconds("deadline_ms", deadline_bounds_ms)
                           .value_or(service.deadline);
    read_routes(fields, service);
    read_objective(fields, service.objective);
    service.retry_share =
        fields.number("retry_share", service.retry_share, share_bounds);
    service.hedge_share =
        fields.number("hedge_share", service.hedge_share, share_bounds);
    service.measurements_per_second =
        fields.number("measurements_per_second",
                      service.measurements_per_second,
                      measurement_bounds);
    service.idempotency_window =
        fields.seconds("idempotency_window_s", window_bounds_s)
            .value_or(service.idempotency_window);
    fields.finish();
    return placed;
}

using service_index = absl::flat_hash_map<service_name, std::size_t>;

service_index index_of(std::vector<placed_service> const & all)
{
    service_index index;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        auto const & name = all[i].service.name;
        if (!index.emplace(name, i).second)
        {
            throw yaml_error(
                all[i].mark,
                absl::StrCat(all[i].path, ".name"),
                absl::StrCat("'", name.value(), "' is given twice"),
                "keep one service of that name");
        }
    }
    return index;
}

void check_known(std::vector<placed_service> const & all,
                 service_index const & index)
{
    for (auto const & placed : all)
    {
        for (std::size_t i = 0; i < placed.dependency_marks.size(); ++i)
        {
            auto const & name = placed.service.depends_on[i];
            if (!index.contains(name))
            {
                throw yaml_error(
                    placed.dependency_marks[i],
                    absl::StrCat(placed.path, ".depends_on"),
                    absl::StrCat("names '", name.value(), "', no service"),
                    "add that service or take the name out");
            }
        }
    }
}

// walks what depends on what; a service met again on the way is a cycle
class cycle_search
{
public:
    cycle_search(std::vector<placed_service> const & given,
                 service_index const & positions)
        : all(given)
        , index(positions)
        , finished(given.size(), false)
    {
    }

    void run()
    {
        for (std::size_t i = 0; i < this->all.size(); ++i)
        {
            this->visit(i);
        }
    }

private:
    void visit(std::size_t position) // NOLINT(misc-no-recursion)
    {
        auto const met =
            std::find(this->way.begin(), this->way.end(), position);
        if (met != this->way.end())
        {
            this->refuse(std::vector<std::size_t>(met, this->way.end()));
        }
        if (this->finished[position])
        {
            return;
        }
        this->way.push_back(position);
        for (auto const & name : this->all[position].service.depends_on)
        {
            this->visit(this->index.at(name));
        }
        this->way.pop_back();
        this->finished[position] = true;
    }

    [[noreturn]] void refuse(std::vector<std::size_t> const & cycle) const
    {
        std::vector<std::string> names;
        names.reserve(cycle.size() + 1);
        for (std::size_t const position : cycle)
        {
            names.push_back(this->all[position].service.name.value());
        }
        names.push_back(names.front());
        auto const & first = this->all[cycle.front()];
        throw yaml_error(
            first.mark,
            absl::StrCat(first.path, ".depends_on"),
            absl::StrCat("is a cycle: ", absl::StrJoin(names, " -> ")),
            "take one of these dependencies out");
    }

    std::vector<placed_service> const & all;
    service_index const & index;
    std::vector<bool> finished;
    std::vector<std::size_t> way;
};

configuration read_all(YAML::Node const & root)
{
    yaml_fields fields(root, {});
    YAML::Node const list = fields.require("services");
    fields.finish();
    auto const elements = read_list(list, "services");
    if (elements.empty() || elements.size() > most_services)
    {
        throw yaml_error(list.Mark(),
                         "services",
                         absl::StrCat("has ", elements.size(), " elements"),
                         absl::StrCat("give 1 to ", most_services));
    }
    std::vector<placed_service> all;
    for (std::size_t i = 0; i < elements.size(); ++i)
    {
        all.push_back(
            read_service(elements[i], absl::StrCat("services[", i, "]")));
    }
    auto const index = index_of(all);
    check_known(all, index);
    cycle_search(all, index).run();
    configuration result;
    for (auto & placed : all)
    {
        result.services.push_back(std::move(placed.service));
    }
    return result;
}

} // namespace

std::optional<configuration> read_configuration(std::string const & text,
                                                std::string const & source,
                                                failure & reason)
{
    try
    {
        return read_all(YAML::Load(text));
    }
    catch (std::exception const & error)
    {
        reason = describe(error, failure_id::invalid_configuration, source);
        return std::nullopt;
    }
}

std::optional<service_configuration> read_service_configuration(
    std::string const & text, std::string const & source, failure & reason)
{
    try
    {
        return read_service(YAML::Load(text), "service").service;
    }
    catch (std::exception const & error)
    {
        reason = describe(error, failure_id::invalid_configuration, source);
        return std::nullopt;
    }
}

} // namespace endivehinge::detail
