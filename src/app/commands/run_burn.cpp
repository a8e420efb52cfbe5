#include <iomanip>  // left, setw
#include <iostream> // cerr, cout

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/node_report.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr int column_width = 16;

using burn_by_service = absl::btree_map<service_name, burn_report>;

void add(burn_by_service & sums, burn_report const & one)
{
    auto const [place, is_new] = sums.emplace(one.service, one);
    if (is_new)
    {
        return;
    }
    auto & windows = place->second.windows;
    for (std::size_t i = 0; i < windows.size() && i < one.windows.size(); ++i)
    {
        windows[i].total += one.windows[i].total;
        windows[i].bad += one.windows[i].bad;
    }
}

void print(burn_report const & one)
{
    std::cout << one.service.value() << ": " << one.target_share << " within "
              << one.latency_ms << " ms\n";
    for (auto const & window : one.windows)
    {
        auto const minutes =
            std::chrono::duration_cast<std::chrono::minutes>(window.length);
        std::cout << "  last " << std::left << std::setw(column_width)
                  << std::to_string(minutes.count()) + " min"
                  << std::setw(column_width)
                  << std::to_string(window.total) + " requests"
                  << std::setw(column_width)
                  << std::to_string(window.bad) + " bad"
                  << "burn " << burn_rate(window, one.target_share) << '\n';
    }
}

} // namespace

exit_code run_burn(command_arguments const & arguments)
{
    failure reason;
    auto const nodes = arguments.addresses("node", reason);
    if (!nodes.has_value() || !arguments.address("node", reason).has_value())
    {
        return report(reason);
    }
    burn_by_service sums;
    exit_code result = exit_ok;
    for (auto const & node : *nodes)
    {
        auto const burns = fetch_burn(node, reason);
        if (!burns.has_value())
        {
            result = report(reason);
            continue;
        }
        for (auto const & one : *burns)
        {
            add(sums, one);
        }
    }
    for (auto const & [name, one] : sums)
    {
        print(one);
    }
    return result;
}

} // namespace endivehinge::detail
