#include <endivehinge/detail/commands/platform_session.hpp>

#include <cstdlib>  // getenv
#include <iostream> // cout
#include <utility>  // move

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

#include <endivehinge/detail/commands/rollout_check.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration platform_call_timeout = std::chrono::seconds(2);
constexpr absl::Duration initial_retry_delay = absl::Milliseconds(200);
constexpr int max_attempts = 6;
constexpr std::int64_t default_wait_timeout_s = 30;

} // namespace

bool exponential_retry_pause::wait(int failures)
{
    if (failures >= max_attempts)
    {
        return false;
    }
    absl::SleepFor(initial_retry_delay * (1 << failures) / 2);
    return true;
}

platform_session::platform_session(endpoint const & platform,
                                   std::string author)
    : client(http_client_limits())
    , store(platform, this->client, platform_call_timeout)
    , configuration_edits(this->store, this->pause, std::move(author))
{
}

configuration_editor & platform_session::editor()
{
    return this->configuration_edits;
}

std::string operator_name(command_arguments const & arguments)
{
    char const * const login = std::getenv("USER");
    return arguments.text("operator")
        .value_or(login == nullptr ? "unnamed" : login);
}

bool check_wait_options(command_arguments const & arguments, failure & reason)
{
    auto const nodes = arguments.addresses("node", reason);
    if (!nodes.has_value() ||
        !arguments.number("timeout-s", default_wait_timeout_s, reason)
             .has_value())
    {
        return false;
    }
    if (arguments.has("wait") && nodes->empty())
    {
        reason = {failure_id::invalid_argument,
                  "read command line",
                  {},
                  "--wait needs --node IP:PORT, a node's admin port"};
        return false;
    }
    return true;
}

exit_code finish_edit(edit_result const & done,
                      command_arguments const & arguments)
{
    for (auto const & object_name : done.changed)
    {
        std::cout << "changed " << object_name << '\n';
    }
    std::cout << (done.changed.empty() ? "nothing to change, version "
                                       : "accepted as version ")
              << done.version << '\n';
    if (!arguments.has("wait"))
    {
        return exit_ok;
    }
    failure reason;
    rollout_check check(*arguments.addresses("node", reason));
    std::chrono::seconds const timeout(
        *arguments.number("timeout-s", default_wait_timeout_s, reason));
    return check.wait(done.version, timeout) ? exit_ok
                                             : exit_not_active_in_time;
}

} // namespace endivehinge::detail
