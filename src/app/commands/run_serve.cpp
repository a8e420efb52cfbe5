#include <endivehinge/detail/commands/serve_command.hpp>

#include <endivehinge/detail/gateway/gateway.hpp>

#include <platform/platform.hpp>

namespace endivehinge::detail
{

exit_code run_serve(command_arguments const & arguments)
{
    auto const settings_path = arguments.text("settings").value_or("");
    failure reason;
    auto settings = platform::load_settings(settings_path, reason);
    if (!settings)
    {
        return report(reason);
    }
    auto adapters = platform::make_adapters(*settings);
    gateway node(std::move(*settings),
                 std::move(adapters),
                 [settings_path](failure & reload_failure)
                 {
                     return platform::load_settings(settings_path,
                                                    reload_failure);
                 });
    return node.run(reason) ? exit_ok : report(reason);
}

} // namespace endivehinge::detail
