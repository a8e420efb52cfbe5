#include <endivehinge/detail/commands/serve_command.hpp>

#include <absl/strings/numbers.h> // SimpleAtod

#include <endivehinge/detail/gateway/gateway.hpp>

#include <platform/platform.hpp>

namespace endivehinge::detail
{

namespace
{

// a larger share would cost more than the shared retry budget of a service
constexpr double max_hedge_share = 0.2;
constexpr std::int64_t default_hedge_min_target_ms = 500;

bool apply_hedge_options(command_arguments const & arguments,
                         gateway_settings & settings,
                         failure & reason)
{
    auto const share = arguments.text("hedge-share");
    // also false for a value that is no number
    if (share && (!absl::SimpleAtod(*share, &settings.hedge_share) ||
                  !(settings.hedge_share >= 0 &&
                    settings.hedge_share <= max_hedge_share)))
    {
        reason = {failure_id::invalid_argument,
                  "read command line",
                  {},
                  "--hedge-share needs a number from 0 to 0.2"};
        return false;
    }
    auto const min_target = arguments.number(
        "hedge-min-target-ms", default_hedge_min_target_ms, reason);
    if (!min_target)
    {
        return false;
    }
    settings.hedge_min_target = std::chrono::milliseconds(*min_target);
    return true;
}

} // namespace

exit_code run_serve(command_arguments const & arguments)
{
    auto const settings_path = arguments.text("settings").value_or("");
    failure reason;
    auto settings = platform::load_settings(settings_path, reason);
    if (!settings)
    {
        return report(reason);
    }
    if (!apply_hedge_options(arguments, *settings, reason))
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
