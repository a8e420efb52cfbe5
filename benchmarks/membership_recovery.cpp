// how long after the end of a fault every node believes every running node
// alive again, and what that costs a node; under a virtual clock

#include <cstdio>  // printf
#include <cstdlib> // strtoul
#include <vector>  // vector

#include <common/gossip_network.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;
using tools::gossip_network;
using tools::gossip_network_options;

constexpr std::size_t full_domains = 19;
constexpr std::size_t full_regions = 8;
constexpr std::size_t full_services = 260;
constexpr seconds settle_span(15);
constexpr minutes cut_span(3);
constexpr minutes recovery_limit(15);

enum class fault
{
    domain_cut,
    region_cut,
    mass_restart,
};

char const * name_of(fault kind)
{
    switch (kind)
    {
    case fault::domain_cut:
        return "domain_cut";
    case fault::region_cut:
        return "region_cut";
    case fault::mass_restart:
        return "mass_restart";
    }
    return "none";
}

gossip_network_options make_options(std::size_t members)
{
    gossip_network_options options;
    options.members = members;
    options.domains = full_domains;
    options.regions = full_regions;
    options.services = full_services;
    options.loss = 0.001;
    options.deliver_decoded = false;
    return options;
}

void cause(fault kind, gossip_network & network)
{
    switch (kind)
    {
    case fault::domain_cut:
        network.cut(
            [&network](std::size_t from, std::size_t to)
            {
                return (network.domain_of(from) == 0) !=
                       (network.domain_of(to) == 0);
            });
        break;
    case fault::region_cut:
        network.cut(
            [&network](std::size_t from, std::size_t to)
            {
                return (network.region_of(from) == 0) !=
                       (network.region_of(to) == 0);
            });
        break;
    case fault::mass_restart:
        network.start_all();
        return;
    }
    network.run_for(cut_span);
    network.cut(nullptr);
}

// how many pairs of nodes in which one holds the other for dead
std::size_t false_deaths(gossip_network & network)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < network.size(); ++node)
    {
        for (std::size_t other = 0; other < network.size(); ++other)
        {
            count += network.at(node).state_of(network.name_of(other)) ==
                             member_state::dead
                         ? 1U
                         : 0U;
        }
    }
    return count;
}

void measure(std::size_t members, fault kind)
{
    gossip_network network(make_options(members));
    network.start_all();
    network.introduce_all();
    network.run_for(settle_span);
    cause(kind, network);
    std::size_t const dead = false_deaths(network);
    network.reset_counters();
    time_point const begin = network.now();
    bool const recovered = network.run_until(
        [&network]()
        {
            return network.agreed();
        },
        recovery_limit);
    double const span =
        std::chrono::duration<double>(network.now() - begin).count();
    double const sent = static_cast<double>(network.counters().bytes);
    std::printf(
        "recovery fault=%s members=%zu recovered=%d seconds=%.0f "
        "bytes_per_s=%.0f false_deaths_at_end=%zu "
        "largest_datagram_bytes=%zu\n",
        name_of(kind),
        members,
        recovered ? 1 : 0,
        span,
        2 * sent / span / static_cast<double>(members),
        dead,
        static_cast<std::size_t>(network.counters().largest_datagram_bytes));
    std::fflush(stdout);
}

} // namespace
} // namespace endivehinge

int main(int argc, char ** argv)
{
    using endivehinge::fault;
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
    {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty())
    {
        sizes = {50, 500};
    }
    for (std::size_t const members : sizes)
    {
        for (fault const kind :
             {fault::domain_cut, fault::region_cut, fault::mass_restart})
        {
            endivehinge::measure(members, kind);
        }
    }
    return 0;
}
