#include <getopt.h> // getopt_long

#include <cstring>  // strcmp
#include <iostream> // cerr, cout
#include <string>   // string

#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/node/node.hpp>
#include <endivehinge/detail/process/stop_signal.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace
{

using namespace endivehinge;         // NOLINT
using namespace endivehinge::detail; // NOLINT

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_cut_short = 3;

void print_ready(node_ports const & ports)
{
    std::cout << R"({"event":"ready","ingress":)" << ports.ingress
              << R"(,"peers":)" << ports.peers << R"(,"control":)"
              << ports.control << R"(,"admin":)" << ports.admin << "}"
              << std::endl;
}

int run_node(std::string const & path)
{
    failure reason;
    auto const text = read_file(path, reason);
    auto const settings = text.has_value()
                              ? read_node_settings(*text, path, reason)
                              : std::nullopt;
    if (!settings.has_value())
    {
        std::cerr << reason.describe() << '\n';
        return exit_usage;
    }
    stop_signal const signals;
    start_logging(log_level::info);
    auto const running = node::start(*settings, reason);
    if (running == nullptr)
    {
        std::cerr << reason.describe() << '\n';
        return exit_failed;
    }
    print_ready(running->ports());
    static_cast<void>(signals.wait());
    signals.end_on_next();
    return running->drain() ? exit_ok : exit_cut_short;
}

std::string read_settings_option(int argc, char ** argv)
{
    option const options[] = {
        {"settings", required_argument, nullptr, 's'},
        {nullptr, 0, nullptr, 0},
    };
    std::string path;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", options, nullptr)) != -1)
    {
        if (chosen == 's')
        {
            path = optarg;
        }
    }
    return path;
}

} // namespace

int main(int argc, char ** argv)
{
    if (argc < 2 || std::strcmp(argv[1], "node") != 0)
    {
        std::cerr << "usage: endivehinge node --settings FILE\n";
        return exit_usage;
    }
    return run_node(read_settings_option(argc - 1, argv + 1));
}
