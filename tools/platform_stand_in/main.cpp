#include <iostream> // cout, cerr

#include <common/object_table.hpp>
#include <common/platform_handler.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_server.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>

int main(int argc, char ** argv)
{
    using namespace endivehinge; // NOLINT
    detail::stop_signal const signals;
    tools::tool_options const options(argc, argv);
    tools::object_table objects;
    tools::platform_handler handler(objects);
    failure reason;
    endpoint const address{
        "127.0.0.1", static_cast<std::uint16_t>(options.number("port", 0))};
    auto const server =
        detail::http_server::start(address, handler, {}, reason);
    if (server == nullptr)
    {
        std::cerr << reason.describe() << '\n';
        return 1;
    }
    std::cout << R"({"event":"ready","port":)" << server->port() << "}"
              << std::endl;
    static_cast<void>(signals.wait());
    return 0;
}
