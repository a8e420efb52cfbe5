#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/serve_command.hpp>

namespace endivehinge::detail
{
namespace
{

command_option const platform_option = {
    "platform", "IP:PORT", "the platform's object API"};
command_option const node_option = {
    "node", "IP:PORT", "the admin port of a node; may be repeated"};
command_option const author_option = {
    "operator", "WHO", "who makes the change; shown to operators that race"};
command_option const wait_option = {
    "wait", "", "waits until the change is in force; needs --node"};
command_option const timeout_option = {
    "timeout-s", "SECONDS", "how long --wait waits; 30 where not given"};
command_option const domain_option = {
    "failure-domain", "NAME", "the failure domain"};
command_option const target_option = {
    "target", "NAME", "the target, by the name of the node beside it"};
command_option const force_option = {
    "force", "", "also where a service would be left without targets"};

std::vector<command_option>
operator_options(std::vector<command_option> command_options)
{
    command_options.insert(command_options.begin(), platform_option);
    command_options.insert(
        command_options.end(),
        {author_option, node_option, wait_option, timeout_option});
    return command_options;
}

} // namespace

std::vector<command> const & all_commands()
{
    static std::vector<command> const commands = {
        {"node",
         "runs a node beside a target",
         {{"settings", "FILE", "the settings of the node"}},
         &run_node},
        {"serve",
         "runs a node on the users' platform",
         {{"settings",
           "FILE",
           "the platform's settings; else the file that it names"},
          {"hedge-share",
           "SHARE",
           "part of the requests that may be sent twice, 0 to 0.2; default 0"},
          {"hedge-min-target-ms",
           "MS",
           "smallest latency target of such requests; default 500"}},
         &run_serve},
        {"check",
         "checks a settings file or a configuration, and changes nothing",
         {{"settings", "FILE", "the settings of a node"},
          {"configuration", "FILE", "the operators' configuration"}},
         &run_check},
        {"apply",
         "puts a configuration in force",
         operator_options(
             {{"configuration", "FILE", "the operators' configuration"},
              {"expect-version",
               "NUMBER",
               "only where no service was changed after this version"}}),
         &run_apply},
        {"status",
         "shows the members, what is drained, and where which version is",
         {node_option, {"json", "", "prints the node's answer as it is"}},
         &run_status},
        {"drain",
         "takes a failure domain or a target out of service",
         operator_options({domain_option, target_option, force_option}),
         &run_drain},
        {"undrain",
         "puts a failure domain or a target back",
         operator_options({domain_option, target_option}),
         &run_undrain},
        {"burn",
         "shows how fast the services spend their error budgets",
         {node_option},
         &run_burn},
        {"version", "prints the version of the program", {}, &run_version},
        {"help", "prints this", {}, &run_help},
    };
    return commands;
}

} // namespace endivehinge::detail
