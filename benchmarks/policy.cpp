#include <cstdio>  // printf, fputs
#include <cstdlib> // EXIT_FAILURE, atoi
#include <string>  // string, to_string
#include <vector>  // vector

#include <getopt.h> // getopt_long

#include <endivehinge/core/clock.hpp>

#include "policy_simulation/simulation.hpp"

namespace
{

using namespace endivehinge;
using namespace endivehinge::simulation;

struct run_options
{
    int seconds = 6;
    std::uint64_t seed = 1;
    // empty: all
    std::string only_policy;
    std::string only_case;
    std::string only_deployment;
    int only_load = 0;
    // ablations also where little is expected of them
    bool everything = false;
};

struct load_case
{
    char const * name;
    std::vector<int> loads_percent;
};

std::vector<load_case> load_cases()
{
    std::vector<int> const usual{50, 70, 85, 95};
    return {{"steady", usual},
            {"straggler", usual},
            {"noisy", usual},
            {"cold", usual},
            {"drain", usual},
            {"overload", {120}},
            {"domain-out", usual},
            {"signals-lie", {85}},
            {"slots-lie", {85, 120}},
            {"short-limits", {85, 120}}};
}

std::vector<deployment> deployments()
{
    return {deployment::make("directorate", 20, std::chrono::microseconds(500)),
            deployment::make("trust", 10, std::chrono::microseconds(1500))};
}

double
capacity(deployment const & where, fault_case const & faults, duration length)
{
    double targets = 0;
    for (std::size_t index = 0; index < where.instances.size(); ++index)
    {
        targets += faults.capacity_left(where, index);
    }
    duration const measured = length - deployment_simulation::measured_from;
    return targets * where.slots * static_cast<double>(measured.count()) /
           static_cast<double>(mean_work().count());
}

bool is_wanted(policy_setup const & setup,
               int load,
               run_options const & options)
{
    if (!options.only_policy.empty())
    {
        return setup.name == options.only_policy;
    }
    bool const shows_ablations = load == 85 || load == 120;
    return !setup.is_ablation || shows_ablations || options.everything;
}

void run_one(deployment const & where,
             char const * case_name,
             int load,
             run_options const & options)
{
    duration const length = std::chrono::seconds(options.seconds);
    auto const faults = fault_case::make(case_name, length);
    double const share = load / 100.0;
    auto const arrivals =
        make_arrivals(where, faults, share, length, options.seed);
    for (auto const & setup : policy_setup::all())
    {
        if (!is_wanted(setup, load, options))
        {
            continue;
        }
        deployment_simulation run(
            where, faults, setup, arrivals, length, options.seed);
        auto summary = run.run();
        std::printf("policy=%s case=%s load=%.2f %s deployment=%s\n",
                    setup.name.c_str(),
                    case_name,
                    share,
                    summary.describe(capacity(where, faults, length)).c_str(),
                    where.name.c_str());
        std::fflush(stdout);
    }
}

bool is_chosen(std::string const & only, std::string const & name)
{
    return only.empty() || only == name;
}

void run_all(run_options const & options)
{
    for (auto const & where : deployments())
    {
        for (auto const & [name, loads] : load_cases())
        {
            for (int const load : loads)
            {
                if (is_chosen(options.only_deployment, where.name) &&
                    is_chosen(options.only_case, name) &&
                    (options.only_load == 0 || options.only_load == load))
                {
                    run_one(where, name, load, options);
                }
            }
        }
    }
}

bool read_options(int count, char ** words, run_options & options)
{
    std::vector<option> const known{
        {"seconds", required_argument, nullptr, 's'},
        {"seed", required_argument, nullptr, 'r'},
        {"policy", required_argument, nullptr, 'p'},
        {"case", required_argument, nullptr, 'c'},
        {"deployment", required_argument, nullptr, 'd'},
        {"load", required_argument, nullptr, 'l'},
        {"everything", no_argument, nullptr, 'e'},
        {nullptr, 0, nullptr, 0}};
    int found = 0;
    while ((found = getopt_long(count, words, "", known.data(), nullptr)) != -1)
    {
        switch (found)
        {
        case 's':
            options.seconds = std::atoi(optarg);
            break;
        case 'r':
            options.seed = static_cast<std::uint64_t>(std::atoi(optarg));
            break;
        case 'p':
            options.only_policy = optarg;
            break;
        case 'c':
            options.only_case = optarg;
            break;
        case 'd':
            options.only_deployment = optarg;
            break;
        case 'l':
            options.only_load = std::atoi(optarg);
            break;
        case 'e':
            options.everything = true;
            break;
        default:
            return false;
        }
    }
    return options.seconds > 0;
}

} // namespace

int main(int count, char ** words)
{
    run_options options;
    if (!read_options(count, words, options))
    {
        std::fputs("benchmark_policy [--seconds N] [--seed N] [--policy NAME] "
                   "[--case NAME] [--deployment directorate|trust] "
                   "[--load PERCENT] [--everything]\n",
                   stderr);
        return EXIT_FAILURE;
    }
    run_all(options);
    return EXIT_SUCCESS;
}
