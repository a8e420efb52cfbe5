#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/serve_command.hpp>

namespace endivehinge::detail
{

std::vector<command> const & all_commands()
{
    static std::vector<command> const commands = {
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
        {"version", "prints the version of the program", {}, &run_version},
        {"help", "prints this", {}, &run_help},
    };
    return commands;
}

} // namespace endivehinge::detail
