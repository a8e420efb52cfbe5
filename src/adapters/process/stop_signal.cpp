#include <endivehinge/detail/process/stop_signal.hpp>

#include <csignal>   // SIGTERM
#include <pthread.h> // pthread_sigmask
#include <signal.h>  // sigwait, sigset_t
#include <unistd.h>  // _exit

#include <thread> // thread

namespace endivehinge::detail
{
namespace
{

constexpr int exit_on_second_signal = 4;

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signal::stop_signal()
{
    sigset_t const set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

int stop_signal::wait() const
{
    sigset_t const set = stop_signals();
    int number = 0;
    sigwait(&set, &number);
    return number;
}

void stop_signal::end_on_next() const
{
    std::thread(
        [this]()
        {
            static_cast<void>(this->wait());
            ::_exit(exit_on_second_signal);
        })
        .detach();
}

} // namespace endivehinge::detail
