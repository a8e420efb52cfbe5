#include <unistd.h> // access

#include <cstdlib>    // mkdtemp
#include <filesystem> // path, remove_all
#include <iomanip>    // setprecision
#include <iostream>   // cout, cerr

#include "demonstration.hpp"

#include <common/tool_options.hpp>

namespace
{

using namespace endivehinge; // NOLINT

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr std::size_t most_violations_printed = 20;

std::string make_work_folder()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "endivehinge-demo-XXXXXX")
            .string();
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

// the examples lie beside the build folder, or in the current one
std::string find_configuration(tools::tool_options const & options,
                               std::filesystem::path const & binaries,
                               std::string const & deployment)
{
    std::string const name = "examples/" + deployment + ".yaml";
    auto const beside = binaries.parent_path().parent_path() / name;
    return options.text("configuration",
                        ::access(name.c_str(), R_OK) == 0 ? name
                                                          : beside.string());
}

void print_violations(tools::history_verdict const & verdict)
{
    std::size_t printed = 0;
    for (auto const & one : verdict.violations)
    {
        if (++printed > most_violations_printed)
        {
            std::cout << "and more" << std::endl;
            return;
        }
        std::cout << tools::to_string(one.kind) << ": " << one.call << ": "
                  << one.detail << std::endl;
    }
}

void print_closing_line(tools::history_verdict const & verdict,
                        std::vector<duration> const & times)
{
    using tools::violation_kind;
    std::cout << std::fixed << std::setprecision(2)
              << "demo: sent=" << verdict.sent
              << " answered=" << verdict.answered
              << " refused=" << verdict.refused
              << " unknown=" << verdict.unknown
              << " lost=" << verdict.count(violation_kind::lost)
              << " doubled=" << verdict.count(violation_kind::doubled)
              << " cut=" << verdict.count(violation_kind::cut)
              << " untrue=" << verdict.count(violation_kind::untrue)
              << " p50_ms=" << tools::quantile_ms(times, 0.5)
              << " p99_ms=" << tools::quantile_ms(times, 0.99)
              << " p999_ms=" << tools::quantile_ms(times, 0.999) << std::endl;
}

int run(demo::demonstration_options const & options,
        demo::deployment_plan const & plan)
{
    demo::demonstration running(options, plan);
    failure reason;
    if (!running.start(reason))
    {
        std::cerr << reason.describe() << "; logs are in " << options.work
                  << '\n';
        return exit_failed;
    }
    std::cout << "started: " << plan.name << ", " << plan.instances.size()
              << " instances, seed " << options.seed << std::endl;
    running.run();
    auto const verdict = running.check();
    print_violations(verdict);
    if (!verdict.violations.empty())
    {
        std::cout << "logs are in " << options.work << std::endl;
    }
    print_closing_line(verdict, running.answer_times());
    return verdict.violations.empty() ? exit_ok : exit_failed;
}

} // namespace

int main(int argc, char ** argv)
{
    tools::tool_options const given(argc, argv);
    std::string const name = given.text("deployment", "directorate");
    std::string const faults = given.text("faults", "all");
    bool const is_known = name == "directorate" || name == "trust";
    if (!is_known || (faults != "all" && faults != "none"))
    {
        std::cerr << "usage: demo --deployment directorate|trust --seed N "
                     "--duration_s N --faults all|none --history PATH\n";
        return exit_usage;
    }
    auto const binaries = std::filesystem::absolute(
                              std::filesystem::read_symlink("/proc/self/exe"))
                              .parent_path();
    demo::demonstration_options options;
    options.binaries = binaries.string();
    options.work = make_work_folder();
    options.configuration_path = find_configuration(given, binaries, name);
    options.history_path = given.text("history", "history.jsonl");
    options.seed = static_cast<std::uint64_t>(given.number("seed", 1));
    options.callers = static_cast<std::size_t>(given.number("callers", 16));
    options.span = absl::Seconds(given.number("duration_s", 20));
    options.with_faults = faults == "all";
    int const code =
        run(options,
            name == "trust" ? demo::make_trust(options.seed)
                            : demo::make_directorate(options.seed));
    if (code == exit_ok)
    {
        std::error_code ignored;
        std::filesystem::remove_all(options.work, ignored);
    }
    return code;
}
