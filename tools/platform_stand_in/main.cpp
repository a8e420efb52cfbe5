#include <iostream> // cout, cerr

#include <common/platform_server.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>

int main(int argc, char ** argv)
{
    using namespace endivehinge; // NOLINT
    detail::stop_signal const signals;
    tools::tool_options const options(argc, argv);
    failure reason;
    auto const platform = tools::platform_server::start(
        static_cast<std::uint16_t>(options.number("port", 0)), reason);
    if (platform == nullptr)
    {
        std::cerr << reason.describe() << '\n';
        return 1;
    }
    std::cout << R"({"event":"ready","port":)" << platform->port()
              << R"(,"control":)" << platform->control_port() << "}"
              << std::endl;
    static_cast<void>(signals.wait());
    return 0;
}
