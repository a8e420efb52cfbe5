// places a request by the library's own decisions, with no node running

#include <chrono>   // seconds
#include <iostream> // cout
#include <random>   // mt19937_64
#include <vector>   // vector

#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/coordination/configuration_state.hpp>
#include <endivehinge/policy/load_aware_policy.hpp>

namespace
{

using namespace endivehinge; // NOLINT

// a change as an object store might deliver it
change_set drain_of(char const * domain, std::uint64_t version)
{
    configuration_entry entry;
    entry.subject = entry_subject::domain;
    entry.name = domain;
    entry.author = "example";
    entry.drained = true;
    return {object_version(version - 1),
            object_version(version),
            {{configuration_kind,
              entry.object_name(),
              object_version(version),
              entry.to_value(),
              false}}};
}

std::vector<placement_candidate> three_candidates()
{
    std::vector<placement_candidate> candidates;
    for (char const * const name : {"listings-1", "listings-2", "listings-3"})
    {
        placement_candidate one;
        one.node = node_name(name);
        candidates.push_back(one);
    }
    candidates[0].own_in_flight = 9;
    return candidates;
}

} // namespace

int main()
{
    configuration_state state;
    bool const took_in =
        state.merge(drain_of("almaty-a", 1)) == merge_result::advanced;
    // the same again is harmless
    bool const unchanged =
        state.merge(drain_of("almaty-a", 1)) == merge_result::unchanged;
    std::cout << "configuration version " << state.version() << '\n';

    std::mt19937_64 random(7);
    load_aware_policy const policy;
    auto const candidates = three_candidates();
    auto const chosen =
        policy.choose(candidates, time_point(std::chrono::seconds(1)), random);
    if (!took_in || !unchanged || !chosen.has_value())
    {
        return 1;
    }
    std::cout << "placed on " << candidates[*chosen].node << '\n';
    return 0;
}
