#include "soak_process.hpp"

#include <csignal>    // kill, SIGCONT, SIGKILL
#include <cstdio>     // perror
#include <fcntl.h>    // O_APPEND, O_CREAT, O_WRONLY
#include <spawn.h>    // posix_spawn
#include <sys/wait.h> // waitpid
#include <unistd.h>   // environ, STDOUT_FILENO

namespace endivehinge::tests
{

soak_process::soak_process(std::vector<std::string> const & command,
                           std::string const & log)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (auto const & one : command)
    {
        arguments.push_back(const_cast<char *>(one.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files,
                                     STDOUT_FILENO,
                                     log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    int const error = posix_spawn(
        &this->id, arguments[0], &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        std::perror(arguments[0]);
        this->ended = true;
    }
}

soak_process::~soak_process()
{
    if (this->runs())
    {
        kill(this->id, SIGKILL);
        waitpid(this->id, nullptr, 0);
    }
}

void soak_process::signal(int number)
{
    if (this->runs())
    {
        kill(this->id, number);
    }
}

bool soak_process::runs()
{
    this->ended = this->ended || waitpid(this->id, nullptr, WNOHANG) != 0;
    return !this->ended;
}

pid_t soak_process::process() const
{
    return this->id;
}

} // namespace endivehinge::tests
