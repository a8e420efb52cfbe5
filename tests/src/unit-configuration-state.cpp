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
// many, so that a change that is missed is not soon written over
constexpr std::size_t object_count = 60;
constexpr std::size_t no_byte_bound = std::size_t{1} << 30U;

object_version v(std::uint64_t version)
{
    return object_version(version);
}

change_set set_of(std::uint64_t after,
                  std::uint64_t upto,
                  std::vector<std::uint64_t> const & versions)
{
    change_set result{v(after), v(upto), {}};
    for (auto const version : versions)
    {
        // every second change is of the same object
        std::string const name = version % 2 == 0 ? "even" : "odd";
        result.objects.push_back(
            {kind, name, v(version), std::to_string(version), false});
    }
    return result;
}

struct merge_case
{
    char const * name;
    std::vector<change_set> sets;
    merge_result last;
    std::uint64_t reached;
    std::uint64_t even;
};

class merging : public ::testing::TestWithParam<merge_case>
{
};

TEST_P(merging, ends_at_the_newest_version_that_joins_on)
{
    auto const & tried = this->GetParam();
    configuration_state state;
    merge_result last = merge_result::unchanged;
    for (auto const & set : tried.sets)
    {
        last = state.merge(set);
    }
    EXPECT_EQ(last, tried.last) << tried.name;
    EXPECT_EQ(state.version(), v(tried.reached)) << tried.name;
    EXPECT_EQ(state.version_of("even"), v(tried.even)) << tried.name;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    merging,
    ::testing::Values(
        merge_case{
            "first", {set_of(0, 5, {4, 5})}, merge_result::advanced, 5, 4},
        merge_case{"doubled",
                   {set_of(0, 5, {4}), set_of(0, 5, {4})},
                   merge_result::unchanged,
                   5,
                   4},
        merge_case{"a lagging watch",
                   {set_of(0, 9, {8}), set_of(0, 5, {4})},
                   merge_result::unchanged,
                   9,
                   8},
        merge_case{"a platform that returns old data",
                   {set_of(0, 9, {8}), set_of(9, 5, {})},
                   merge_result::unchanged,
                   9,
                   8},
        merge_case{"an overlap from a slow peer",
                   {set_of(0, 6, {6}), set_of(0, 9, {2, 9})},
                   merge_result::advanced,
                   9,
                   6},
        merge_case{"a gap is not bridged",
                   {set_of(0, 4, {4}), set_of(6, 9, {8})},
                   merge_result::gap,
                   4,
                   4},
        merge_case{"answers in the wrong order",
                   {set_of(4, 9, {8}), set_of(0, 4, {4}), set_of(4, 9, {8})},
                   merge_result::advanced,
                   9,
                   8},
        merge_case{"a fresh node after a restart",
                   {set_of(7, 9, {8})},
                   merge_result::gap,
                   0,
                   0},
        merge_case{"an object beyond its set",
                   {set_of(0, 5, {8})},
                   merge_result::advanced,
                   5,
                   0}));

TEST(configuration_state, a_bounded_set_of_changes_reaches_as_far_as_it_says)
{
    configuration_state full;
    ASSERT_EQ(full.merge(set_of(0, 9, {4, 7})), merge_result::advanced);
    configuration_state behind;
    change_set const part = full.changes_after(v(0), 1);
    EXPECT_EQ(part.upto, v(4));
    ASSERT_EQ(behind.merge(part), merge_result::advanced);
    ASSERT_EQ(behind.merge(full.changes_after(v(4), 1)),
              merge_result::advanced);
    EXPECT_EQ(behind.version(), v(9));
    EXPECT_EQ(behind.version_of("odd"), v(7));
}

TEST(configuration_state, a_peer_that_is_behind_gives_nothing)
{
    configuration_state old;
    ASSERT_EQ(old.merge(set_of(0, 3, {2})), merge_result::advanced);
    configuration_state state;
    ASSERT_EQ(state.merge(set_of(0, 9, {8})), merge_result::advanced);
    EXPECT_EQ(state.merge(old.changes_after(state.version(), no_byte_bound)),
              merge_result::unchanged);
    EXPECT_EQ(state.version(), v(9));
}

// nodes, a platform and messages that are delayed, doubled and lost; the
// real state, driven by one seeded source of chance
class schedule
{
public:
    schedule(std::uint64_t seed, std::size_t nodes)
        : random(seed)
        , states(nodes)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            switch (this->draw(6))
            {
            case 0:
                this->write();
                break;
            case 1:
                this->watch();
                break;
            case 2:
            case 3:
                this->ask_peer();
                break;
            case 4:
                this->deliver();
                break;
            default:
                this->restart();
            }
        }
    }

    void settle()
    {
        for (std::size_t i = 0; i < this->states.size(); ++i)
        {
            this->take_in(i, this->platform_changes(this->states[i].version()));
        }
    }

    void expect_converged()
    {
        for (auto const & state : this->states)
        {
            EXPECT_EQ(state.version(), this->platform.latest());
            failure reason;
            auto const present = this->platform.list(kind, reason);
            auto const held = state.objects();
            ASSERT_EQ(held.size(), present->size());
            for (std::size_t i = 0; i < held.size(); ++i)
            {
                EXPECT_EQ(held[i].version, (*present)[i].version);
                EXPECT_EQ(held[i].value, (*present)[i].value);
            }
        }
    }

private:
    struct message
    {
        std::size_t to;
        change_set changes;
    };

    std::size_t draw(std::size_t bound)
    {
        return this->random() % bound;
    }

    void write()
    {
        failure reason;
        std::string const name =
            "service." + std::to_string(this->draw(object_count));
        auto const held = this->platform.get(kind, name, reason);
        auto const expected = held.has_value() ? held->version : v(0);
        if (held.has_value() && this->draw(4) == 0)
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
        auto seen = this->platform.watch(kind, after, duration(0), reason);
        return {after, seen->version, std::move(seen->changes)};
    }

    // the answer stays under way, and may come long after or never
    void watch()
    {
        std::size_t const to = this->draw(this->states.size());
        this->under_way.push_back(
            {to, this->platform_changes(this->states[to].version())});
    }

    void ask_peer()
    {
        std::size_t const to = this->draw(this->states.size());
        std::size_t const from = this->draw(this->states.size());
        this->under_way.push_back(
            {to,
             this->states[from].changes_after(this->states[to].version(),
                                              this->draw(200))});
    }

    void deliver()
    {
        if (this->under_way.empty())
        {
            return;
        }
        std::size_t const chosen = this->draw(this->under_way.size());
        message const taken = this->under_way[chosen];
        // one in three is delivered again later
        if (this->draw(3) != 0)
        {
            this->under_way[chosen] = this->under_way.back();
            this->under_way.pop_back();
        }
        this->take_in(taken.to, taken.changes);
    }

    // answers to the run before it still arrive
    void restart()
    {
        if (this->draw(4) == 0)
        {
            this->states[this->draw(this->states.size())] = {};
        }
    }

    void take_in(std::size_t to, change_set const & changes)
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
    std::vector<message> under_way;
};

class random_schedules : public ::testing::TestWithParam<std::uint64_t>
{
};

TEST_P(random_schedules, never_go_back_and_converge)
{
    schedule run(this->GetParam(), 3 + this->GetParam() % 20);
    run.run(4000);
    run.settle();
    run.expect_converged();
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_schedules,
                         ::testing::Range<std::uint64_t>(1, 41));

std::vector<member> members_of(std::size_t domains, std::size_t nodes)
{
    std::vector<member> members;
    for (std::size_t d = 0; d < domains; ++d)
    {
        for (std::size_t n = 0; n < nodes; ++n)
        {
            member one;
            one.domain = failure_domain("domain-" + std::to_string(d));
            one.name = node_name("node-" + std::to_string(d) + "-" +
                                 std::to_string(n));
            members.push_back(one);
        }
    }
    return members;
}

std::size_t elected(std::vector<member> const & members)
{
    std::size_t count = 0;
    for (auto const & one : members)
    {
        bool const alive = one.state == member_state::alive;
        count += alive && is_watcher(one.name, one.domain, members, 3) ? 1 : 0;
    }
    return count;
}

TEST(watcher_election, elects_a_handful_in_each_failure_domain)
{
    EXPECT_EQ(elected(members_of(19, 40)), 19U * 3U);
    EXPECT_EQ(elected(members_of(3, 2)), 6U);
}

TEST(watcher_election, a_watcher_that_is_gone_is_replaced_by_one_other)
{
    auto members = members_of(1, 30);
    std::vector<bool> before;
    before.reserve(members.size());
    for (auto const & one : members)
    {
        before.push_back(is_watcher(one.name, one.domain, members, 3));
    }
    std::size_t gone = 0;
    while (!before[gone])
    {
        ++gone;
    }
    members[gone].state = member_state::suspect;
    std::size_t changed = 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        bool const now =
            is_watcher(members[i].name, members[i].domain, members, 3);
        changed += i != gone && now != before[i] ? 1 : 0;
    }
    EXPECT_EQ(changed, 1U);
    EXPECT_EQ(elected(members), 3U);
}

} // namespace
} // namespace endivehinge
