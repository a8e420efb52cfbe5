#include <endivehinge/detail/settings/configuration_writer.hpp>

#include <chrono> // duration_cast

#include <yaml-cpp/yaml.h> // Emitter

namespace endivehinge::detail
{
namespace
{

template <class Unit>
std::int64_t count(duration span)
{
    return std::chrono::duration_cast<Unit>(span).count();
}

void write_route(YAML::Emitter & out, route_rule const & rule)
{
    out << YAML::BeginMap;
    if (!rule.method.empty())
    {
        out << YAML::Key << "method" << YAML::Value << rule.method;
    }
    out << YAML::Key << "path" << YAML::Value << rule.path_prefix;
    out << YAML::Key << "repeatable" << YAML::Value << rule.repeatable;
    out << YAML::Key << "priority" << YAML::Value << to_string(rule.urgency);
    if (rule.deadline.has_value())
    {
        out << YAML::Key << "deadline_ms" << YAML::Value
            << count<std::chrono::milliseconds>(*rule.deadline);
    }
    out << YAML::EndMap;
}

void write_lists(YAML::Emitter & out, service_configuration const & service)
{
    out << YAML::Key << "depends_on" << YAML::Value << YAML::Flow
        << YAML::BeginSeq;
    for (auto const & name : service.depends_on)
    {
        out << name.value();
    }
    out << YAML::EndSeq;
    out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (auto const & rule : service.routes)
    {
        write_route(out, rule);
    }
    out << YAML::EndSeq;
}

} // namespace

std::string write_service_configuration(service_configuration const & service)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    YAML::Emitter out;
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << service.name.value();
    out << YAML::Key << "deadline_ms" << YAML::Value
        << count<milliseconds>(service.deadline);
    write_lists(out, service);
    out << YAML::Key << "objective" << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "target_share" << YAML::Value
        << service.objective.target_share;
    out << YAML::Key << "latency_ms" << YAML::Value
        << count<milliseconds>(service.objective.latency);
    out << YAML::EndMap;
    out << YAML::Key << "retry_share" << YAML::Value << service.retry_share;
    out << YAML::Key << "hedge_share" << YAML::Value << service.hedge_share;
    out << YAML::Key << "measurements_per_second" << YAML::Value
        << service.measurements_per_second;
    out << YAML::Key << "idempotency_window_s" << YAML::Value
        << count<seconds>(service.idempotency_window);
    out << YAML::EndMap;
    return out.c_str();
}

} // namespace endivehinge::detail
