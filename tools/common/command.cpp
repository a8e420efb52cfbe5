#include <common/command.hpp>

#include <csignal> // kill

#include <fcntl.h>    // open
#include <spawn.h>    // posix_spawn
#include <sys/wait.h> // waitpid
#include <unistd.h>   // environ

#include <absl/time/clock.h> // Now, SleepFor

namespace endivehinge::tools
{
namespace
{

constexpr absl::Duration look_interval = absl::Milliseconds(10);

// nothing where the process still runs at the end of the patience
std::optional<int> wait_for(pid_t process, absl::Duration patience)
{
    absl::Time const end = absl::Now() + patience;
    int status = 0;
    while (::waitpid(process, &status, WNOHANG) != process)
    {
        if (absl::Now() > end)
        {
            return std::nullopt;
        }
        absl::SleepFor(look_interval);
    }
    return WIFEXITED(status) ? std::optional(WEXITSTATUS(status))
                             : std::nullopt;
}

} // namespace

std::optional<int> run_command(std::vector<std::string> const & command,
                               absl::Duration patience)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (auto const & argument : command)
    {
        arguments.push_back(const_cast<char *>(argument.c_str())); // NOLINT
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (int const stream : {STDOUT_FILENO, STDERR_FILENO})
    {
        posix_spawn_file_actions_addopen(
            &actions, stream, "/dev/null", O_WRONLY, 0);
    }
    pid_t process = 0;
    int const failed = ::posix_spawn(
        &process, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        return std::nullopt;
    }
    auto const code = wait_for(process, patience);
    if (!code.has_value() && ::kill(process, SIGKILL) == 0)
    {
        int status = 0;
        ::waitpid(process, &status, 0);
    }
    return code;
}

} // namespace endivehinge::tools
