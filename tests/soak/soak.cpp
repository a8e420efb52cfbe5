// a randomized soak: real nodes and targets as processes, faults from outside

#include <cstdlib>    // getenv
#include <filesystem> // create_directories, remove_all
#include <iostream>   // cout

#include <common/tool_options.hpp>

#include "soak_checker.hpp"
#include "soak_clients.hpp"
#include "soak_crashes.hpp"
#include "soak_crowds.hpp"
#include "soak_faults.hpp"
#include "soak_restores.hpp"
#include "soak_target.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tools::tool_options;

constexpr milliseconds request_interval(8);
constexpr milliseconds fault_interval(350);
constexpr milliseconds restore_interval(2000);
constexpr milliseconds crash_interval(200);
constexpr milliseconds crowd_interval(500);
constexpr milliseconds probe_limit(2000);
constexpr milliseconds probe_interval(50);
// for a start; far above what it takes
constexpr seconds start_patience(30);
// from the end of the last fault until everything works again
constexpr seconds recovery_patience(20);
// in relation to the grace time
constexpr int stop_patience = 2;
// the users' bound for entries of the store, and a poll of this program
constexpr milliseconds entries_bound(2100);

endpoint address_of(tool_options const & options, char const * name)
{
    failure reason;
    auto const read = endpoint::parse(options.text(name, ""), reason);
    if (!read)
    {
        std::cerr << reason.describe() << "\n";
    }
    return read.value_or(endpoint{});
}

int run_target(tool_options const & options)
{
    soak_target_options chosen;
    chosen.id = options.text("target", "");
    chosen.service = options.text("service", "");
    chosen.domain = options.text("domain", "");
    chosen.listener = address_of(options, "listener");
    chosen.announced = address_of(options, "announced");
    chosen.reports = address_of(options, "reports");
    chosen.events = options.text("events", "");
    chosen.seed = static_cast<std::uint64_t>(options.number("seed", 1));
    soak_target(chosen).run();
    return 0;
}

/// @brief whether each node answers requests one after the other
bool serves(soak_fleet & fleet, soak_clients & clients, duration patience)
{
    for (std::size_t i = 0; i < fleet.members.size(); ++i)
    {
        int in_a_row = 0;
        bool const works = fleet.run_until(
            patience,
            [&fleet, &clients, &in_a_row, i]
            {
                auto const one = clients.send(i, true, probe_limit);
                bool const ended =
                    fleet.run_until(start_patience,
                                    [&one]
                                    {
                                        return one->ended.has_value();
                                    });
                bool const answered = ended && one->status == 200;
                in_a_row = answered ? in_a_row + 1 : 0;
                if (!answered)
                {
                    fleet.io.run_for(probe_interval);
                }
                return in_a_row == 3;
            });
        if (!works)
        {
            std::cout << "violation node " << i << " does not serve\n";
            return false;
        }
    }
    return true;
}

/// @brief ends the faults and waits until everything works
bool recover(soak_fleet & fleet, soak_clients & clients, bool timed)
{
    fleet.calm();
    auto const began = fleet.now();
    for (auto const & name : fleet.missing_entries())
    {
        std::cout << "without_entry " << name
                  << " at_ms=" << began / milliseconds(1) << "\n";
    }
    bool const listed =
        fleet.run_until(recovery_patience,
                        [&fleet]
                        {
                            return fleet.missing_entries().empty();
                        });
    auto const took = fleet.now() - began;
    std::cout << "entries_back_ms=" << took / milliseconds(1) << "\n";
    if (!listed || (timed && took > entries_bound))
    {
        std::cout << "violation the store lacks entries";
        for (auto const & name : fleet.missing_entries())
        {
            std::cout << " " << name;
        }
        std::cout << "\n";
        return false;
    }
    return serves(fleet, clients, recovery_patience);
}

int run_soak(tool_options const & options, std::string const & program)
{
    soak_plan plan;
    plan.seed = static_cast<std::uint64_t>(options.number("seed", 1));
    plan.members = static_cast<std::size_t>(options.number("members", 4));
    plan.restores = options.number("restores", 0) != 0;
    plan.resets = options.number("resets", 0) != 0;
    plan.grace_s = static_cast<int>(options.number("grace_s", plan.grace_s));
    plan.endivehinge = options.text("endivehinge", "");
    plan.soak = program;
    plan.folder = options.text("folder", "soak-" + std::to_string(plan.seed));
    std::filesystem::remove_all(plan.folder);
    std::filesystem::create_directories(plan.folder);
    soak_fleet fleet(plan);
    soak_clients clients(fleet, plan.seed);
    soak_faults faults(fleet, plan);
    soak_restores restores(fleet, plan.seed + 2);
    soak_crashes crashes(fleet, clients, plan.seed + 3);
    soak_crowds crowds(fleet, plan.seed + 4);
    if (!serves(fleet, clients, start_patience))
    {
        return 1;
    }
    auto const calm = clients.requests.size();
    clients.start(request_interval);
    if (options.number("faults", 1) != 0)
    {
        faults.start(fault_interval);
    }
    if (options.number("crashes", 0) != 0)
    {
        crashes.start(crash_interval);
    }
    if (options.number("crowds", 0) != 0)
    {
        crowds.start(crowd_interval);
    }
    if (plan.restores)
    {
        restores.start(restore_interval);
    }
    auto const end = fleet.now() + seconds(options.number("seconds", 10));
    fleet.run_until(start_patience + seconds(options.number("seconds", 10)),
                    [&fleet, end]
                    {
                        return fleet.now() >= end;
                    });
    faults.stop();
    crashes.stop();
    crowds.stop();
    restores.stop();
    bool const recovered =
        recover(fleet, clients, options.number("timed", 0) != 0);
    clients.stop();
    bool const done = fleet.run_until(start_patience,
                                      [&clients]
                                      {
                                          return clients.are_done();
                                      });
    // the logs are whole once the nodes have ended
    bool const stopped =
        fleet.stop_nodes(stop_patience * seconds(plan.grace_s));
    if (!stopped)
    {
        std::cout << "violation a node did not stop in time\n";
    }
    soak_checker const checker(fleet, clients);
    for (auto const & one : checker.violations())
    {
        std::cout << "violation " << one << "\n";
    }
    for (auto const & one : crowds.violations())
    {
        std::cout << "violation " << one << "\n";
    }
    std::cout << "soak seed=" << plan.seed << " members=" << plan.members
              << " faults=" << faults.count()
              << " restores=" << restores.count()
              << " crowds=" << crowds.count()
              << " requests=" << clients.requests.size() - calm << " "
              << checker.summary() << "\n";
    return recovered && done && stopped && checker.violations().empty() &&
                   crowds.violations().empty()
               ? 0
               : 1;
}

} // namespace
} // namespace endivehinge::tests

int main(int argc, char ** argv)
{
    endivehinge::tools::tool_options const options(argc, argv);
    return options.text("target", "").empty()
               ? endivehinge::tests::run_soak(options, argv[0])
               : endivehinge::tests::run_target(options);
}
