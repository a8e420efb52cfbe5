#include <iostream> // cout, cerr

#include <common/target_server.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>

int main(int argc, char ** argv)
{
    using namespace endivehinge; // NOLINT
    detail::stop_signal const signals;
    tools::tool_options const options(argc, argv);
    failure reason;
    auto const target = tools::target_server::start(options, reason);
    if (target == nullptr)
    {
        std::cerr << reason.describe() << '\n';
        return 1;
    }
    std::cout << R"({"event":"ready","port":)" << target->port()
              << R"(,"control":)" << target->control_port() << "}" << std::endl;
    static_cast<void>(signals.wait());
    return target->drain(absl::Seconds(10)) ? 0 : 1;
}
