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

void add_burn(burn_by_service & burn_sums, burn_report const & addend)
{
    auto const [position, is_first] = burn_sums.emplace(addend.service, addend);
    if (is_first)
    {
        return;
    }
    auto & windows = position->second.windows;
    for (std::size_t i = 0; i < windows.size() && i < addend.windows.size();
         ++i)
    {
        windows[i].total += addend.windows[i].total;
        windows[i].bad += addend.windows[i].bad;
    }
}

void print_burn(burn_report const & service_burn_sum)
{
    std::cout << service_burn_sum.service.value() << ": "
              << service_burn_sum.target_share << " within "
              << service_burn_sum.latency_ms << " ms\n";
    for (auto const & window : service_burn_sum.windows)
    {
        auto const minutes =
            std::chrono::duration_cast<std::chrono::minutes>(window.length);
        std::cout << "  last " << std::left << std::setw(column_width)
                  << std::to_string(minutes.count()) + " min"
                  << std::setw(column_width)
                  << std::to_string(window.total) + " requests"
                  << std::setw(column_width)
                  << std::to_string(window.bad) + " bad"
                  << "burn " << burn_rate(window, service_burn_sum.target_share)
                  << '\n';
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
    burn_by_service burn_sums;
    exit_code result = exit_ok;
    for (auto const & node : *nodes)
    {
        auto const burns = fetch_burn(node, reason);
        if (!burns.has_value())
        {
            result = report(reason);
            continue;
        }
        for (auto const & node_burn : *burns)
        {
            add_burn(burn_sums, node_burn);
        }
    }
    for (auto const & [name, sum] : burn_sums)
    {
        print_burn(sum);
    }
    return result;
}

} // namespace endivehinge::detail
