#include <memory> // unique_ptr
#include <random> // mt19937_64
#include <string> // string, to_string
#include <vector> // vector

#include <gtest/gtest.h>

#include <common/object_table.hpp>
#include <endivehinge/coordination/configuration_state.hpp>
#include <endivehinge/coordination/watcher_election.hpp>

namespace endivehinge
{
namespace
{

constexpr char const * kind = "configuration";
// large enough that a missed change is rarely hidden by a later write to the
// same object
constexpr std::size_t object_count = 60;
constexpr std::size_t unlimited_bytes = std::size_t{1} << 30U;

object_version make_version(std::uint64_t version)
{
    return object_version(version);
}

change_set make_change_set(std::uint64_t after,
                           std::uint64_t upto,
                           std::vector<std::uint64_t> const & versions)
{
    change_set result{make_version(after), make_version(upto), {}};
    for (auto const version : versions)
    {
        // even and odd versions belong to one object each
        std::string const name = version % 2 == 0 ? "even" : "odd";
        result.objects.push_back({kind,
                                  name,
                                  make_version(version),
                                  std::to_string(version),
                                  false});
    }
    return result;
}

struct merge_case
{
    char const * description;
    std::vector<change_set> change_sets;
    merge_result expected_result;
    std::uint64_t expected_version;
    std::uint64_t expected_even_version;
};

class merge_test : public ::testing::TestWithParam<merge_case>
{
};

TEST_P(merge_test, reaches_the_newest_version_without_a_gap)
{
    auto const & test_case = this->GetParam();
    configuration_state state;
    merge_result last_result = merge_result::unchanged;
    for (auto const & changes : test_case.change_sets)
    {
        last_result = state.merge(changes);
    }
    EXPECT_EQ(last_result, test_case.expected_result) << test_case.description;
    EXPECT_EQ(state.version(), make_version(test_case.expected_version))
        << test_case.description;
    EXPECT_EQ(state.version_of("even"),
              make_version(test_case.expected_even_version))
        << test_case.description;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    merge_test,
    ::testing::Values(
        merge_case{"first change set",
                   {make_change_set(0, 5, {4, 5})},
                   merge_result::advanced,
                   5,
                   4},
        merge_case{"duplicate change set",
                   {make_change_set(0, 5, {4}), make_change_set(0, 5, {4})},
                   merge_result::unchanged,
                   5,
                   4},
        merge_case{"outdated change set of a watch",
                   {make_change_set(0, 9, {8}), make_change_set(0, 5, {4})},
                   merge_result::unchanged,
                   9,
                   8},
        merge_case{"platform returns an older version",
                   {make_change_set(0, 9, {8}), make_change_set(9, 5, {})},
                   merge_result::unchanged,
                   9,
                   8},
        merge_case{"overlapping change set of an outdated peer",
                   {make_change_set(0, 6, {6}), make_change_set(0, 9, {2, 9})},
                   merge_result::advanced,
                   9,
                   6},
        merge_case{"change set after a gap",
                   {make_change_set(0, 4, {4}), make_change_set(6, 9, {8})},
                   merge_result::gap,
                   4,
                   4},
        merge_case{"responses out of order",
                   {make_change_set(4, 9, {8}),
                    make_change_set(0, 4, {4}),
                    make_change_set(4, 9, {8})},
                   merge_result::advanced,
                   9,
                   8},
        merge_case{"change set for a state lost in a restart",
                   {make_change_set(7, 9, {8})},
                   merge_result::gap,
                   0,
                   0},
        merge_case{"object version beyond the change set",
                   {make_change_set(0, 5, {8})},
                   merge_result::advanced,
                   5,
                   0}));

TEST(configuration_state, size_limited_change_sets_merge_in_sequence)
{
    configuration_state full;
    ASSERT_EQ(full.merge(make_change_set(0, 9, {4, 7})),
              merge_result::advanced);
    configuration_state receiver;
    change_set const partial_set = full.changes_after(make_version(0), 1);
    EXPECT_EQ(partial_set.upto, make_version(4));
    ASSERT_EQ(receiver.merge(partial_set), merge_result::advanced);
    ASSERT_EQ(receiver.merge(full.changes_after(make_version(4), 1)),
              merge_result::advanced);
    EXPECT_EQ(receiver.version(), make_version(9));
    EXPECT_EQ(receiver.version_of("odd"), make_version(7));
}

TEST(configuration_state, changes_from_an_outdated_peer_are_ignored)
{
    configuration_state outdated;
    ASSERT_EQ(outdated.merge(make_change_set(0, 3, {2})),
              merge_result::advanced);
    configuration_state state;
    ASSERT_EQ(state.merge(make_change_set(0, 9, {8})), merge_result::advanced);
    EXPECT_EQ(
        state.merge(outdated.changes_after(state.version(), unlimited_bytes)),
        merge_result::unchanged);
    EXPECT_EQ(state.version(), make_version(9));
}

// Simulates nodes and a platform whose messages are delayed, duplicated and
// lost. The nodes run the production configuration_state; one seeded generator
// drives all events.
class merge_simulation
{
public:
    merge_simulation(std::uint64_t seed, std::size_t nodes)
        : random(seed)
        , states(nodes)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            switch (this->random_below(6))
            {
            case 0:
                this->write();
                break;
            case 1:
                this->watch();
                break;
            case 2:
            case 3:
                this->request_from_peer();
                break;
            case 4:
                this->deliver();
                break;
            default:
                this->restart();
            }
        }
    }

    void merge_latest()
    {
        for (std::size_t i = 0; i < this->states.size(); ++i)
        {
            this->merge_and_check(
                i, this->platform_changes(this->states[i].version()));
        }
    }

    void expect_converged()
    {
        for (auto const & state : this->states)
        {
            EXPECT_EQ(state.version(), this->platform.latest());
            failure reason;
            auto const listed = this->platform.list(kind, reason);
            auto const local_objects = state.objects();
            ASSERT_EQ(local_objects.size(), listed->size());
            for (std::size_t i = 0; i < local_objects.size(); ++i)
            {
                EXPECT_EQ(local_objects[i].version, (*listed)[i].version);
                EXPECT_EQ(local_objects[i].value, (*listed)[i].value);
            }
        }
    }

private:
    struct message
    {
        std::size_t to;
        change_set changes;
    };

    std::size_t random_below(std::size_t bound)
    {
        return this->random() % bound;
    }

    void write()
    {
        failure reason;
        std::string const name =
            "service." + std::to_string(this->random_below(object_count));
        auto const stored = this->platform.get(kind, name, reason);
        auto const expected =
            stored.has_value() ? stored->version : make_version(0);
        if (stored.has_value() && this->random_below(4) == 0)
        {
            ASSERT_TRUE(this->platform.remove(kind, name, expected, reason));
            return;
        }
        ASSERT_TRUE(this->platform.put(
            kind, name, expected, std::to_string(this->random()), reason));
    }

    change_set platform_changes(object_version after)
    {
        failure reason;
        auto watched = this->platform.watch(kind, after, duration(0), reason);
        return {after, watched->version, std::move(watched->changes)};
    }

    // the response remains in flight and may arrive much later or never
    void watch()
    {
        std::size_t const to = this->random_below(this->states.size());
        this->in_flight.push_back(
            {to, this->platform_changes(this->states[to].version())});
    }

    void request_from_peer()
    {
        std::size_t const to = this->random_below(this->states.size());
        std::size_t const from = this->random_below(this->states.size());
        this->in_flight.push_back(
            {to,
             this->states[from].changes_after(this->states[to].version(),
                                              this->random_below(200))});
    }

    void deliver()
    {
        if (this->in_flight.empty())
        {
            return;
        }
        std::size_t const chosen = this->random_below(this->in_flight.size());
        message const delivered = this->in_flight[chosen];
        // one in three messages remains in flight and may be delivered again
        if (this->random_below(3) != 0)
        {
            this->in_flight[chosen] = this->in_flight.back();
            this->in_flight.pop_back();
        }
        this->merge_and_check(delivered.to, delivered.changes);
    }

    // responses to requests from before the restart still arrive
    void restart()
    {
        if (this->random_below(4) == 0)
        {
            this->states[this->random_below(this->states.size())] = {};
        }
    }

    void merge_and_check(std::size_t to, change_set const & changes)
    {
        configuration_state & state = this->states[to];
        object_version const before = state.version();
        std::vector<object_version> versions;
        for (std::size_t i = 0; i < object_count; ++i)
        {
            versions.push_back(
                state.version_of("service." + std::to_string(i)));
        }
        auto const result = state.merge(changes);
        EXPECT_EQ(result == merge_result::advanced, state.version() > before);
        EXPECT_GE(state.version(), before);
        for (std::size_t i = 0; i < versions.size(); ++i)
        {
            EXPECT_GE(state.version_of("service." + std::to_string(i)),
                      versions[i]);
        }
    }

    std::mt19937_64 random;
    tools::object_table platform;
    std::vector<configuration_state> states;
    std::vector<message> in_flight;
};

class random_merge_test : public ::testing::TestWithParam<std::uint64_t>
{
};

TEST_P(random_merge_test, versions_never_decrease_and_nodes_converge)
{
    merge_simulation simulation(this->GetParam(), 3 + this->GetParam() % 20);
    simulation.run(4000);
    simulation.merge_latest();
    simulation.expect_converged();
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_merge_test,
                         ::testing::Range<std::uint64_t>(1, 41));

std::vector<member> make_members(std::size_t domains, std::size_t nodes)
{
    std::vector<member> members;
    for (std::size_t d = 0; d < domains; ++d)
    {
        for (std::size_t n = 0; n < nodes; ++n)
        {
            member new_member;
            new_member.domain = failure_domain("domain-" + std::to_string(d));
            new_member.name = node_name("node-" + std::to_string(d) + "-" +
                                        std::to_string(n));
            members.push_back(new_member);
        }
    }
    return members;
}

std::size_t count_watchers(std::vector<member> const & members)
{
    std::size_t count = 0;
    for (auto const & candidate : members)
    {
        bool const alive = candidate.state == member_state::alive;
        count +=
            alive && is_watcher(candidate.name, candidate.domain, members, 3)
                ? 1
                : 0;
    }
    return count;
}

TEST(watcher_election, elects_the_requested_number_per_failure_domain)
{
    EXPECT_EQ(count_watchers(make_members(19, 40)), 19U * 3U);
    EXPECT_EQ(count_watchers(make_members(3, 2)), 6U);
}

TEST(watcher_election, a_failed_watcher_is_replaced_by_one_node)
{
    auto members = make_members(1, 30);
    std::vector<bool> before;
    before.reserve(members.size());
    for (auto const & candidate : members)
    {
        before.push_back(
            is_watcher(candidate.name, candidate.domain, members, 3));
    }
    std::size_t failed_index = 0;
    while (!before[failed_index])
    {
        ++failed_index;
    }
    members[failed_index].state = member_state::suspect;
    std::size_t changed = 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        bool const now =
            is_watcher(members[i].name, members[i].domain, members, 3);
        changed += i != failed_index && now != before[i] ? 1 : 0;
    }
    EXPECT_EQ(changed, 1U);
    EXPECT_EQ(count_watchers(members), 3U);
}

} // namespace
} // namespace endivehinge
