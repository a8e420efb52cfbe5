#include <iostream> // cout

#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/node/node.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

void print_ready(node_ports const & ports)
{
    std::cout << R"({"event":"ready","ingress":)" << ports.ingress
              << R"(,"peers":)" << ports.peers << R"(,"control":)"
              << ports.control << R"(,"admin":)" << ports.admin << "}"
              << std::endl;
}

} // namespace

exit_code run_node(command_arguments const & arguments)
{
    failure reason;
    auto const path = arguments.text("settings");
    if (!path.has_value())
    {
        return report({failure_id::invalid_argument,
                       "read command line",
                       {},
                       "--settings FILE is missing"});
    }
    auto const text = read_file(*path, reason);
    auto const settings = text.has_value()
                              ? read_node_settings(*text, *path, reason)
                              : std::nullopt;
    if (!settings.has_value())
    {
        static_cast<void>(report(reason));
        return exit_usage;
    }
    stop_signal const signals;
    start_logging(log_level::info);
    auto const started_node = node::start(*settings, reason);
    if (started_node == nullptr)
    {
        return report(reason);
    }
    print_ready(started_node->ports());
    static_cast<void>(signals.wait());
    signals.end_on_next();
    return started_node->drain() ? exit_ok : exit_requests_interrupted;
}

} // namespace endivehinge::detail
