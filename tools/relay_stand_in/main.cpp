#include <iostream> // cout, cerr

#include <common/relay_server.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>

int main(int argc, char ** argv)
{
    using namespace endivehinge; // NOLINT
    detail::stop_signal const signals;
    tools::tool_options const options(argc, argv);
    failure reason;
    auto const relay =
        tools::relay_server::start(options.text("to", ""), reason);
    if (relay == nullptr)
    {
        std::cerr << reason.describe() << '\n';
        return 1;
    }
    std::cout << R"({"event":"ready","port":)" << relay->port()
              << R"(,"control":)" << relay->control_port() << "}" << std::endl;
    static_cast<void>(signals.wait());
    return 0;
}
