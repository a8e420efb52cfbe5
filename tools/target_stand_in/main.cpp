#include <chrono>   // milliseconds
#include <iostream> // cout, cerr
#include <memory>   // unique_ptr

#include <unistd.h> // getpid

#include <common/announcer.hpp>
#include <common/target_handler.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_server.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>

int main(int argc, char ** argv)
{
    using namespace endivehinge; // NOLINT
    detail::stop_signal const signals;
    tools::tool_options const options(argc, argv);
    tools::target_handler handler(
        std::chrono::milliseconds(options.number("service_ms", 0)));
    failure reason;
    endpoint const address{
        "127.0.0.1", static_cast<std::uint16_t>(options.number("port", 0))};
    auto const server =
        detail::http_server::start(address, handler, {}, reason);
    auto const node = endpoint::parse(options.text("node", ""), reason);
    if (server == nullptr || !node.has_value())
    {
        std::cerr << reason.describe() << '\n';
        return 1;
    }
    tools::target_announcement first;
    first.address = {"127.0.0.1", server->port()};
    first.slots = static_cast<std::uint32_t>(options.number("slots", 20));
    first.connections =
        static_cast<std::uint32_t>(options.number("connections", 250));
    first.run = static_cast<std::uint64_t>(::getpid());
    tools::announcer said(*node, first);
    std::cout << R"({"event":"ready","port":)" << server->port() << "}"
              << std::endl;
    static_cast<void>(signals.wait());
    said.change_phase("draining");
    return server->drain(absl::Seconds(10)) ? 0 : 1;
}
