#include <endivehinge/detail/gateway/gateway.hpp>

#include <csignal>   // SIGHUP, SIGINT, SIGPIPE, SIGTERM, signal
#include <exception> // exception

#include <endivehinge/detail/gateway/gateway_parts.hpp>

namespace endivehinge::detail
{

gateway::gateway(gateway_settings initial_settings,
                 gateway_adapters platform_adapters,
                 settings_source reload_source)
    : loop(1)
    , parts(std::make_unique<gateway_parts>(this->loop,
                                            std::move(initial_settings),
                                            std::move(platform_adapters)))
    , signals(this->loop)
    , read_settings(std::move(reload_source))
{
}

gateway::~gateway() = default;

bool gateway::run(failure & reason)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!this->parts->open(reason))
    {
        return false;
    }
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.add(SIGHUP);
    this->handle_signal();
    this->run_loop();
    return true;
}

void gateway::run_loop()
{
    for (;;)
    {
        try
        {
            this->loop.run();
            return;
        }
        catch (std::exception const & error)
        {
            this->parts->state.metrics.increment("exceptions");
            this->parts->state.log.write("exception",
                                         {{"reason", error.what()}});
        }
    }
}

void gateway::handle_signal()
{
    this->signals.async_wait(
        [this](boost::system::error_code error, int signal_number)
        {
            if (error)
            {
                return;
            }
            this->handle_signal();
            if (signal_number == SIGHUP)
            {
                this->reload();
            }
            else
            {
                this->parts->stop(
                    [this]
                    {
                        this->loop.stop();
                    });
            }
        });
}

void gateway::reload()
{
    failure reason;
    if (auto const settings = this->read_settings(reason))
    {
        this->parts->reload(*settings);
        return;
    }
    this->parts->state.log.write("reload_failed",
                                 {{"reason", reason.describe()}});
}

} // namespace endivehinge::detail
