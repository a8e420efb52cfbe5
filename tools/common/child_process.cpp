#include <common/child_process.hpp>

#include <csignal> // SIGKILL

#include <fcntl.h>    // open
#include <poll.h>     // poll
#include <sys/wait.h> // waitpid
#include <unistd.h>   // fork, execv, pipe

#include <absl/time/clock.h> // Now, SleepFor

namespace endivehinge::tools
{
namespace
{

constexpr int ready_timeout_ms = 15000;
constexpr int log_file_mode = 0644;
constexpr int exit_not_executable = 127;
constexpr int signal_exit_base = 128;
constexpr absl::Duration wait_step = absl::Milliseconds(5);

std::vector<char *> argument_pointers(std::vector<std::string> const & command)
{
    std::vector<char *> pointers;
    pointers.reserve(command.size() + 1);
    for (auto const & argument : command)
    {
        pointers.push_back(const_cast<char *>(argument.c_str())); // NOLINT
    }
    pointers.push_back(nullptr);
    return pointers;
}

[[noreturn]] void become(std::vector<char *> const & arguments,
                         std::string const & log_path,
                         int output)
{
    ::dup2(output, STDOUT_FILENO);
    char const * const path = log_path.empty() ? "/dev/null" : log_path.c_str();
    int const log =
        ::open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_file_mode);
    ::dup2(log, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(exit_not_executable);
}

} // namespace

std::unique_ptr<child_process>
child_process::start(std::vector<std::string> const & command,
                     std::string const & log_path,
                     failure & reason)
{
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC) != 0)
    {
        reason = {failure_id::internal, "start", command[0], "no pipe"};
        return nullptr;
    }
    auto const arguments = argument_pointers(command);
    pid_t const started = ::fork();
    if (started == 0)
    {
        become(arguments, log_path, ends[1]);
    }
    ::close(ends[1]);
    std::unique_ptr<child_process> child(new child_process(started, ends[0]));
    if (started < 0 || !child->read_ready_line())
    {
        reason = {failure_id::internal, "start", command[0], "not ready"};
        return nullptr;
    }
    return child;
}

child_process::child_process(pid_t started, int output_descriptor)
    : process(started)
    , output(output_descriptor)
{
}

child_process::~child_process()
{
    if (this->is_running())
    {
        this->signal(SIGKILL);
        static_cast<void>(this->wait(absl::InfiniteDuration()));
    }
    ::close(this->output);
}

std::uint16_t child_process::port(std::string const & name) const
{
    return this->ready.at(name).get<std::uint16_t>();
}

void child_process::signal(int number) const
{
    if (this->process > 0 && !this->ended)
    {
        ::kill(this->process, number);
    }
}

std::optional<int> child_process::wait(absl::Duration patience)
{
    absl::Time const deadline = absl::Now() + patience;
    while (!this->ended)
    {
        int status = 0;
        if (::waitpid(this->process, &status, WNOHANG) == this->process)
        {
            this->ended = true;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : signal_exit_base + WTERMSIG(status);
        }
        if (absl::Now() > deadline)
        {
            return std::nullopt;
        }
        absl::SleepFor(wait_step);
    }
    return std::nullopt;
}

bool child_process::is_running() const
{
    return this->process > 0 && !this->ended;
}

pid_t child_process::id() const
{
    return this->process;
}

bool child_process::read_ready_line()
{
    std::string line;
    pollfd watched{this->output, POLLIN, 0};
    while (::poll(&watched, 1, ready_timeout_ms) > 0)
    {
        char letter = 0;
        if (::read(this->output, &letter, 1) != 1)
        {
            return false;
        }
        if (letter == '\n')
        {
            this->ready = nlohmann::json::parse(line, nullptr, false);
            return this->ready.is_object();
        }
        line += letter;
    }
    return false;
}

} // namespace endivehinge::tools
