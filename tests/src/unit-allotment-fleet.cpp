#include <algorithm> // count, max, shuffle
#include <numeric>   // accumulate, iota
#include <random>    // discrete_distribution, poisson_distribution
#include <string>    // to_string
#include <vector>    // vector

#include <gtest/gtest.h>

#include "simulation/allotment_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t other_than(std::size_t owner, std::size_t count)
{
    return (owner + 1) % count;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1
                      : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief a view of the named nodes
allotment_directory::node_list view_of(std::vector<std::string> const & names)
{
    allotment_directory::node_list list;
    for (auto const & name : names)
    {
        allotment_member member;
        member.node = node_name(name);
        list.push_back(member);
    }
    return list;
}

/// @brief a view of nodes in domains of equal size
allotment_directory::node_list view_of(std::size_t nodes, std::size_t domains)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        names.push_back("n" + std::to_string(i));
    }
    auto list = view_of(names);
    for (std::size_t i = 0; i < nodes; ++i)
    {
        list[i].domain = failure_domain("d" + std::to_string(i % domains));
    }
    return list;
}

// Guards against 429 for an account that is within its allotment
TEST(allotment_holder, account_without_an_owner_is_not_exhausted)
{
    time_point const now(seconds(100));
    allotment_holder holder({100, 100});
    auto const last = now + milliseconds(800);
    EXPECT_FALSE(holder.begin(now, 0, last).has_value());
    static_cast<void>(holder.ask(now, 1));
    holder.record_no_owner(now, milliseconds(25), milliseconds(900));
    auto const verdict = holder.decide(now, 0, last);
    ASSERT_TRUE(verdict.has_value());
    EXPECT_EQ(verdict->outcome, allotment_outcome::no_contact);
    EXPECT_GT(verdict->retry_after, duration(0));
}

// Guards against refusals of requests that have the time to wait for an owner
TEST(allotment_holder, request_waits_for_an_owner_that_comes_in_time)
{
    time_point const now(seconds(100));
    allotment_holder holder({100, 100});
    auto const last = now + milliseconds(900);
    EXPECT_FALSE(holder.begin(now, 0, last).has_value());
    static_cast<void>(holder.ask(now, 1));
    holder.record_no_owner(now, milliseconds(25), milliseconds(800));
    EXPECT_FALSE(holder.decide(now, 0, last).has_value());
    EXPECT_FALSE(holder.decide(now + milliseconds(850), 0, last).has_value());
    EXPECT_TRUE(holder.decide(last, 0, last).has_value());
}

// Guards against two owners on both sides of a cut that refuses connections
TEST(allotment_directory, refused_connection_does_not_end_a_process)
{
    time_point const now(seconds(100));
    allotment_directory directory(node_name("a"));
    directory.set_nodes(view_of({"a", "b", "c"}));
    allotment_process const process{node_name("b"), 1};
    directory.record_process(process);
    for (int i = 0; i < 100; ++i)
    {
        directory.record_refused(process.node, now + milliseconds(20) * i);
    }
    EXPECT_FALSE(directory.is_replaced(process));
    EXPECT_FALSE(directory.has_departed(process.node));
    EXPECT_FALSE(directory.is_without_votes(process.node, now + seconds(10)));
    EXPECT_EQ(directory.group(account_name("x")).size(), 3U);
}

// Guards against a process that comes to life again by a late message
TEST(allotment_directory, process_that_was_replaced_stays_ended)
{
    time_point const now(seconds(100));
    allotment_directory directory(node_name("a"));
    directory.set_nodes(view_of({"a", "b"}));
    allotment_process const first{node_name("b"), 1};
    allotment_process const second{node_name("b"), 2};
    directory.record_process(first);
    EXPECT_FALSE(directory.is_replaced(first));
    directory.record_silence(first.node, now, now + seconds(1));
    EXPECT_TRUE(directory.is_lost(first.node));
    directory.record_process(second);
    EXPECT_FALSE(directory.is_lost(first.node));
    directory.record_process(first);
    EXPECT_TRUE(directory.is_replaced(first));
    EXPECT_FALSE(directory.is_replaced(second));
}

// Guards against accounts that have no owner after the loss of a domain
TEST(allotment_directory, majority_of_each_group_survives_the_loss_of_a_domain)
{
    auto const nodes = view_of(68, 4);
    allotment_directory directory(node_name("n0"));
    directory.set_nodes(nodes);
    for (int i = 0; i < 100; ++i)
    {
        auto const & group = directory.group(account_name(std::to_string(i)));
        ASSERT_EQ(group.size(), 9U);
        for (std::size_t domain = 0; domain < 4; ++domain)
        {
            std::size_t lost = 0;
            for (auto const & node : group)
            {
                lost +=
                    std::stoul(node.value().substr(1)) % 4 == domain ? 1 : 0;
            }
            EXPECT_LE(lost, 3U);
        }
    }
}

/// @brief voters that a test connects as it likes
class voters : public testing::Test
{
protected:
    static constexpr std::size_t count = 5;

    void SetUp() override
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            allotment_process const process{node_name("n" + std::to_string(i)),
                                            i + 1};
            this->nodes.push_back(
                {process,
                 allotment_directory(process.node),
                 allotment_election(process, true, this->now)});
            this->nodes.back().directory.set_nodes(view_of(count, 1));
        }
        for (auto const & node : this->nodes[0].directory.group(this->account))
        {
            this->order.push_back(std::stoul(node.value().substr(1)));
        }
    }

    /// @brief lets a node of the group ask the given ones for their votes
    void campaign(std::size_t rank, std::vector<std::size_t> const & reached)
    {
        auto & candidate = this->nodes[this->order[rank]];
        candidate.election.seek(this->account, this->now);
        for (auto const & ballot :
             candidate.election.due_ballots(candidate.directory, this->now))
        {
            auto const voter = std::stoul(ballot.node.value().substr(1));
            for (auto const & request : ballot.requests)
            {
                auto const is_reached =
                    std::any_of(reached.begin(),
                                reached.end(),
                                [this, voter](std::size_t other)
                                {
                                    return this->order[other] == voter;
                                });
                if (!is_reached)
                {
                    candidate.election.record_failure(
                        this->account, ballot.node, this->now);
                }
                else if (request.is_return)
                {
                    this->nodes[voter].election.take_back(
                        request, candidate.process, this->now);
                }
                else
                {
                    candidate.election.record_vote(
                        this->account,
                        ballot.node,
                        this->nodes[voter].election.vote(
                            request,
                            candidate.process,
                            this->nodes[voter].directory,
                            this->now),
                        candidate.directory,
                        this->now,
                        this->now);
                }
            }
        }
    }

    [[nodiscard]] bool is_owner(std::size_t rank)
    {
        auto & node = this->nodes[this->order[rank]];
        return node.election.is_owner(this->account, node.directory, this->now);
    }

    struct voting_node
    {
        allotment_process process;
        allotment_directory directory;
        allotment_election election;
    };

    account_name const account{"a"};
    time_point now{seconds(100)};
    std::vector<voting_node> nodes;
    std::vector<std::size_t> order;
};

// Guards against two owners while a part of the nodes is cut off
TEST_F(voters, owner_in_a_minority_is_replaced_after_its_votes_have_ended)
{
    this->campaign(0, {1, 2, 3, 4});
    EXPECT_TRUE(this->is_owner(0));
    for (int i = 0; i < 30; ++i)
    {
        this->now += milliseconds(100);
        this->campaign(0, {1});
        this->campaign(2, {3, 4});
        EXPECT_FALSE(this->is_owner(0) && this->is_owner(2));
    }
    EXPECT_FALSE(this->is_owner(0));
    EXPECT_TRUE(this->is_owner(2));
}

// Guards against candidates that hold each other up for good
TEST_F(voters, one_of_two_candidates_wins)
{
    this->campaign(1, {3});
    this->campaign(0, {4});
    for (int i = 0; i < 5; ++i)
    {
        this->now += milliseconds(60);
        this->campaign(1, {0, 2, 3, 4});
        this->campaign(0, {1, 2, 3, 4});
    }
    EXPECT_TRUE(this->is_owner(0));
    EXPECT_FALSE(this->is_owner(1));
}

// Guards against a second vote of a process that has forgotten its first one
TEST_F(voters, vote_of_a_restarted_voter_counts_only_among_equal_votes)
{
    this->campaign(0, {1, 2});
    EXPECT_TRUE(this->is_owner(0));
    auto & restarted = this->nodes[this->order[2]];
    restarted.election = {restarted.process, false, this->now};
    this->campaign(3, {2, 4});
    EXPECT_FALSE(this->is_owner(3));
    this->now += allotment_timing::vote_validity;
    this->campaign(3, {2, 4});
    EXPECT_TRUE(this->is_owner(3));
    EXPECT_FALSE(this->is_owner(0));
}

// Guards against a fleet that waits although no voter knows an owner
TEST_F(voters, restarted_voters_that_agree_elect_an_owner_at_once)
{
    for (auto & node : this->nodes)
    {
        node.election = {node.process, false, this->now};
    }
    this->campaign(0, {1, 2, 3});
    EXPECT_FALSE(this->is_owner(0));
    this->now += milliseconds(60);
    this->campaign(0, {4});
    EXPECT_TRUE(this->is_owner(0));
}

// Guards against an owner that nobody reaches and that still gets votes
TEST_F(voters, owner_that_does_not_answer_gets_no_votes)
{
    this->campaign(0, {1, 2, 3, 4});
    auto & voter = this->nodes[this->order[1]];
    auto const & owner = this->nodes[this->order[0]].process;
    auto const sent_at = this->now;
    this->now += milliseconds(400);
    voter.directory.record_silence(owner.node, sent_at, this->now);
    EXPECT_FALSE(
        voter.election
            .vote({this->account, 99, false}, owner, voter.directory, this->now)
            .granted);
    EXPECT_EQ(voter.election.take_doubted(),
              std::vector<node_name>{owner.node});
}

// Guards against refusals below the allotment if all requests enter at one node
TEST(allotment_fleet, account_that_enters_through_one_node_gets_its_rate)
{
    allotment_fleet fleet(6, 1, false);
    fleet.add_account("a", {60, 60});
    auto const entry = other_than(fleet.owner("a"), 6);
    fleet.run_load("a", 57, {entry}, seconds(30));
    auto const & a = fleet.accounts.at("a");
    EXPECT_GE(share(a.granted, a.requests), 0.99) << a.no_contact;
    EXPECT_LT(share(fleet.message_count(), a.requests), 0.15);
}

// Guards against tokens that stay with the nodes that an account has left
TEST(allotment_fleet, account_that_moves_every_second_gets_its_rate)
{
    allotment_fleet fleet(6, 2, false);
    fleet.add_account("a", {60, 60});
    for (std::size_t i = 0; i < 30; ++i)
    {
        fleet.run_load("a", 57, {i % 6}, seconds(1));
    }
    auto const & a = fleet.accounts.at("a");
    EXPECT_GE(share(a.granted, a.requests), 0.95)
        << a.exhausted << " " << a.no_contact;
}

// Guards against tokens for small accounts that expire at other nodes
TEST(allotment_fleet, small_account_over_three_nodes_is_not_refused)
{
    allotment_fleet fleet(6, 3, false);
    fleet.add_account("a", {1.6, 1.6});
    fleet.run_load("a", 1, {0, 2, 4}, seconds(60));
    auto const & a = fleet.accounts.at("a");
    EXPECT_EQ(a.granted, a.requests) << a.exhausted << " " << a.no_contact;
}

TEST(allotment_fleet, account_with_a_burst_of_one_gets_its_rate)
{
    allotment_fleet fleet(6, 3, false);
    fleet.add_account("a", {50, 1});
    auto const entry = other_than(fleet.owner("a"), 6);
    fleet.run_load("a", 47, {entry}, seconds(30));
    auto const & a = fleet.accounts.at("a");
    EXPECT_GE(share(a.granted, a.requests), 0.95) << a.exhausted;
}

TEST(allotment_fleet, account_at_five_times_its_rate_gets_its_rate_exactly)
{
    allotment_fleet fleet(6, 4, false);
    fleet.add_account("a", {60, 60});
    fleet.run_load("a", 300, {0, 1, 2, 3, 4, 5}, seconds(30));
    auto const & a = fleet.accounts.at("a");
    EXPECT_EQ(a.violations, 0U);
    EXPECT_EQ(a.no_contact, 0U);
    EXPECT_GE(a.granted, 1700U);
    EXPECT_LE(a.granted, 60U * 31 + 20);
}

// Guards against an outage of an account while its owner is dead
TEST(allotment_fleet, death_of_the_owner_does_not_refuse_an_account)
{
    allotment_fleet fleet(6, 5, false);
    fleet.add_account("a", {60, 60});
    auto const owner = fleet.owner("a");
    auto const entry = other_than(owner, 6);
    fleet.run_load("a", 36, {entry}, seconds(10));
    fleet.kill(owner);
    fleet.run_load("a", 36, {entry}, seconds(3));
    fleet.start(owner);
    fleet.run_load("a", 36, {entry}, seconds(10));
    auto const & a = fleet.accounts.at("a");
    EXPECT_EQ(a.violations, 0U);
    EXPECT_GE(share(a.granted, a.requests), 0.99)
        << a.exhausted << " " << a.no_contact;
}

// Guards against refusals at a node that does not reach the owner
TEST(allotment_fleet, node_that_does_not_reach_the_owner_is_served)
{
    allotment_fleet fleet(6, 6, false);
    fleet.add_account("a", {60, 60});
    auto const owner = fleet.owner("a");
    auto const entry = other_than(owner, 6);
    fleet.run_load("a", 36, {entry}, seconds(10));
    fleet.set_cut(entry, owner, true);
    auto & a = fleet.accounts.at("a");
    a.requests = 0;
    a.granted = 0;
    fleet.run_load("a", 36, {entry}, seconds(10));
    EXPECT_GE(share(a.granted, a.requests), 0.97)
        << a.exhausted << " " << a.no_contact;
    EXPECT_EQ(a.violations, 0U);
}

// Guards against grants of a node that is cut off from all others
TEST(allotment_fleet, isolated_node_grants_nothing_after_a_second)
{
    allotment_fleet fleet(6, 6, false);
    fleet.add_account("a", {60, 60});
    auto const owner = fleet.owner("a");
    fleet.run_load("a", 36, {owner}, seconds(10));
    fleet.isolate(owner);
    fleet.run_load("a", 36, {owner}, seconds(1));
    auto & a = fleet.accounts.at("a");
    a.granted = 0;
    fleet.run_load("a", 36, {owner}, seconds(9));
    EXPECT_EQ(a.granted, 0U);
    auto const others = other_than(owner, 6);
    a.requests = 0;
    fleet.run_load("a", 36, {others}, seconds(3));
    EXPECT_GE(share(a.granted, a.requests), 0.97);
}

// Guards against an account that is refused while its owner stands still, and
// against two owners when it goes on
TEST(allotment_fleet, paused_owner_is_replaced)
{
    allotment_fleet fleet(6, 6, false);
    fleet.add_account("a", {60, 60});
    auto const owner = fleet.owner("a");
    auto const entry = other_than(owner, 6);
    fleet.run_load("a", 36, {entry}, seconds(10));
    fleet.set_paused(owner, true);
    fleet.run_load("a", 36, {entry}, seconds(2));
    auto & a = fleet.accounts.at("a");
    a.requests = 0;
    a.granted = 0;
    fleet.run_load("a", 36, {entry}, seconds(6));
    fleet.set_paused(owner, false);
    fleet.run_load("a", 36, {entry}, seconds(4));
    EXPECT_GE(share(a.granted, a.requests), 0.97)
        << a.exhausted << " " << a.no_contact;
    EXPECT_EQ(a.violations, 0U);
}

// Requests reach the owner, but it can be reached by nobody: it must not keep
// the account.
TEST(allotment_fleet, owner_that_nobody_reaches_is_replaced)
{
    constexpr std::size_t nodes = 6;
    allotment_fleet fleet(nodes, 6, false);
    fleet.add_account("a", {60, 60});
    auto const owner = fleet.owner("a");
    auto const entry = other_than(owner, nodes);
    fleet.run_load("a", 36, {entry}, seconds(10));
    for (std::size_t i = 0; i < nodes; ++i)
    {
        fleet.set_cut(i, owner, i != owner);
    }
    fleet.run_load("a", 36, {entry}, seconds(2));
    auto & a = fleet.accounts.at("a");
    a.requests = 0;
    a.granted = 0;
    fleet.run_load("a", 36, {entry}, seconds(8));
    EXPECT_GE(share(a.granted, a.requests), 0.97)
        << a.exhausted << " " << a.no_contact;
    EXPECT_EQ(a.violations, 0U);
}

// Guards against clients that are refused while votes of dead processes are
// waited for
TEST(allotment_fleet, return_of_the_whole_fleet_serves_at_once)
{
    allotment_fleet fleet(6, 7, false);
    fleet.add_account("a", {60, 60});
    auto const entry = other_than(fleet.owner("a"), 6);
    fleet.run_load("a", 36, {entry}, seconds(10));
    for (std::size_t i = 0; i < 6; ++i)
    {
        fleet.kill(i);
    }
    fleet.run_for(seconds(1));
    for (std::size_t i = 0; i < 6; ++i)
    {
        fleet.start(i);
    }
    auto & a = fleet.accounts.at("a");
    a.requests = 0;
    a.granted = 0;
    fleet.run_load("a", 36, {entry}, seconds(5));
    EXPECT_GE(share(a.granted, a.requests), 0.97)
        << a.exhausted << " " << a.no_contact;
    EXPECT_EQ(a.violations, 0U);
}

// Guards against a death of a node that takes a part of the rate with it
TEST(allotment_fleet, rate_of_a_dead_node_is_recovered)
{
    allotment_fleet fleet(6, 8, false);
    fleet.add_account("a", {60, 60});
    auto const entry = other_than(fleet.owner("a"), 6);
    auto const next = other_than(entry, 6);
    fleet.run_load("a", 57, {entry}, seconds(10));
    fleet.kill(entry);
    auto & a = fleet.accounts.at("a");
    a.requests = 0;
    a.granted = 0;
    fleet.run_load("a", 57, {next}, seconds(5));
    EXPECT_GE(share(a.granted, a.requests), 0.95)
        << a.exhausted << " " << a.no_contact;
}

TEST(allotment_fleet, lowered_limit_binds_after_a_second)
{
    allotment_fleet fleet(6, 9, false);
    fleet.add_account("a", {100, 100});
    fleet.run_load("a", 300, {0, 1, 2, 3, 4, 5}, seconds(10));
    fleet.set_limits("a", {20, 20});
    fleet.run_load("a", 300, {0, 1, 2, 3, 4, 5}, seconds(10));
    EXPECT_EQ(fleet.accounts.at("a").violations, 0U);
}

// ---------------------------------------------------------------------------
// recovery of a fleet
// ---------------------------------------------------------------------------

/// @brief a fleet with many accounts, whose load enters at random nodes; few of
/// them have more than one request per second at any node
class recovering_fleet : public allotment_fleet
{
public:
    static constexpr std::size_t node_count = 68;
    static constexpr std::size_t account_count = 76;
    // requests per second of all accounts; the share of each is inverse to its
    // rank by size
    static constexpr double load = 840;
    // rate of an account in relation to its load
    static constexpr double headroom = 1.6;

    explicit recovering_fleet(unsigned seed)
        : allotment_fleet(node_count, seed, true)
    {
        std::vector<double> weights;
        for (std::size_t i = 1; i <= account_count; ++i)
        {
            weights.push_back(1 / static_cast<double>(i));
        }
        double const sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (std::size_t i = 0; i < account_count; ++i)
        {
            double const rate = headroom * load * weights[i] / sum;
            this->add_account(account(i), {rate, std::max(rate, 1.0)});
        }
        this->pick_account = std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end());
    }

    /// @brief runs the load at all nodes
    void serve_for(duration length)
    {
        auto const end = this->now + length;
        while (this->now < end)
        {
            this->run_for(milliseconds(1));
            std::poisson_distribution<int> arrivals(load / 1000);
            for (int i = arrivals(this->generator); i > 0; --i)
            {
                this->request(this->any_node(),
                              account(this->pick_account(this->generator)));
            }
        }
    }

    /// @brief runs the load while nodes are restarted, four each second
    void restart_in_series(duration length)
    {
        auto const end = this->now + length;
        std::size_t const first = this->any_node();
        for (std::size_t i = first; this->now < end; ++i)
        {
            this->kill(i % node_count);
            this->serve_for(milliseconds(250));
            if (i > first)
            {
                this->start((i - 1) % node_count);
            }
        }
    }

    [[nodiscard]] std::vector<std::size_t> any_nodes(double part)
    {
        std::vector<std::size_t> all(node_count);
        std::iota(all.begin(), all.end(), 0);
        std::shuffle(all.begin(), all.end(), this->generator);
        all.resize(static_cast<std::size_t>(part * node_count));
        return all;
    }

    [[nodiscard]] double granted_share(duration length)
    {
        for (auto & [name, data] : this->accounts)
        {
            data.requests = 0;
            data.granted = 0;
            data.exhausted = 0;
        }
        this->serve_for(length);
        std::size_t requests = 0;
        std::size_t granted = 0;
        for (auto const & [name, data] : this->accounts)
        {
            requests += data.requests;
            granted += data.granted;
        }
        return share(granted, requests);
    }

    /// @brief expects that each account gets what it is owed
    void expect_all_served(duration length)
    {
        static_cast<void>(this->granted_share(length));
        // requests that still wait
        this->run_for(milliseconds(500));
        for (auto const & [name, data] : this->accounts)
        {
            EXPECT_GE(share(data.granted, data.requests), 0.95)
                << name << ": " << data.granted << " of " << data.requests
                << ", exhausted " << data.exhausted;
            EXPECT_EQ(data.violations, 0U) << name;
        }
    }

    [[nodiscard]] std::size_t request_count() const
    {
        std::size_t sum = 0;
        for (auto const & [name, data] : this->accounts)
        {
            sum += data.requests;
        }
        return sum;
    }

    [[nodiscard]] std::size_t violations() const
    {
        std::size_t sum = 0;
        for (auto const & [name, data] : this->accounts)
        {
            sum += data.violations;
        }
        return sum;
    }

private:
    static std::string account(std::size_t rank)
    {
        return "a" + std::to_string(rank);
    }

    std::size_t any_node()
    {
        return std::uniform_int_distribution<std::size_t>(0, node_count - 1)(
            this->generator);
    }

    std::discrete_distribution<std::size_t> pick_account;
};

class allotment_recovery : public testing::TestWithParam<unsigned>
{
};

// Accounts were refused for want of an owner until long after the last fault:
// each new owner waited for the answers of all other nodes, and of these there
// is always one that does not answer.
TEST_P(allotment_recovery, accounts_are_served_two_seconds_after_the_last_fault)
{
    recovering_fleet fleet(GetParam());
    fleet.serve_for(seconds(4));
    RecordProperty(
        "messages_per_1000_requests",
        static_cast<int>(1000 * fleet.message_count() / fleet.request_count()));
    auto const cut = fleet.any_nodes(0.25);
    for (auto const node : cut)
    {
        fleet.isolate(node);
    }
    fleet.restart_in_series(seconds(4));
    auto const paused = fleet.any_nodes(0.2);
    for (auto const node : paused)
    {
        fleet.set_paused(node, true);
    }
    fleet.restart_in_series(seconds(3));
    auto const killed = fleet.any_nodes(0.4);
    for (auto const node : killed)
    {
        fleet.kill(node);
    }
    fleet.serve_for(seconds(1));
    fleet.heal();
    // their entries stay for a minute
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.kill(killed[i]);
    }
    fleet.serve_for(seconds(2));
    for (int second = 2; second < 8; ++second)
    {
        EXPECT_GE(fleet.granted_share(seconds(1)), 0.95)
            << second << " s after the last fault";
    }
    EXPECT_EQ(fleet.violations(), 0U);
}

// The machine of an owner was gone without a word: it neither answers nor
// refuses, and its entry stays. Its accounts were refused for a minute.
TEST_P(allotment_recovery, accounts_of_machines_that_are_gone_are_served)
{
    recovering_fleet fleet(GetParam());
    fleet.serve_for(seconds(4));
    for (auto const node : fleet.any_nodes(0.1))
    {
        fleet.vanish(node);
    }
    fleet.serve_for(seconds(2));
    fleet.expect_all_served(seconds(4));
}

// After a loss of power all accounts waited 6 s for the answers of machines
// that did not come back.
TEST_P(allotment_recovery, return_of_the_fleet_does_not_wait_for_lost_machines)
{
    recovering_fleet fleet(GetParam());
    fleet.serve_for(seconds(4));
    for (std::size_t i = 0; i < recovering_fleet::node_count; ++i)
    {
        fleet.kill(i);
    }
    fleet.run_for(milliseconds(1500));
    auto const lost = fleet.any_nodes(0.1);
    for (auto const node : lost)
    {
        fleet.vanish(node);
    }
    for (std::size_t i = 0; i < recovering_fleet::node_count; ++i)
    {
        if (std::count(lost.begin(), lost.end(), i) == 0)
        {
            fleet.start(i);
        }
    }
    fleet.serve_for(seconds(2));
    fleet.expect_all_served(seconds(4));
}

INSTANTIATE_TEST_SUITE_P(seeds, allotment_recovery, testing::Range(1U, 4U));

// An account whose owner is gone waits for the votes that it had, and no
// longer.
struct absence
{
    char const * name;
    // nodes that are gone at once, in all domains or in one
    double part;
    bool is_domain;
    milliseconds length;
};

class allotment_absence : public testing::TestWithParam<absence>
{
};

TEST_P(allotment_absence, no_account_waits_longer_than_two_seconds)
{
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        recovering_fleet fleet(seed);
        fleet.serve_for(seconds(4));
        std::vector<std::size_t> gone;
        for (auto const node : fleet.any_nodes(1))
        {
            bool const is_affected =
                GetParam().is_domain
                    ? node % 4 == 0
                    : static_cast<double>(gone.size()) <
                          GetParam().part * recovering_fleet::node_count;
            if (is_affected)
            {
                gone.push_back(node);
            }
        }
        for (auto const node : gone)
        {
            fleet.kill(node);
        }
        fleet.serve_for(GetParam().length);
        for (auto const node : gone)
        {
            fleet.start(node);
            fleet.serve_for(milliseconds(5));
        }
        fleet.serve_for(seconds(4));
        duration longest{0};
        std::size_t refused = 0;
        for (auto const & [name, data] : fleet.accounts)
        {
            longest = std::max(longest, data.longest_unserved);
            refused += data.no_contact;
            EXPECT_LE(data.longest_unserved, GetParam().length + seconds(2))
                << name;
        }
        RecordProperty("refused_" + std::to_string(seed),
                       static_cast<int>(refused));
        RecordProperty("longest_ms_" + std::to_string(seed),
                       static_cast<int>(longest / milliseconds(1)));
        EXPECT_EQ(fleet.violations(), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    faults,
    allotment_absence,
    testing::Values(absence{"kills", 0.16, false, milliseconds(300)},
                    absence{"long_kills", 0.16, false, milliseconds(3500)},
                    absence{"herd", 0.4, false, milliseconds(300)},
                    absence{"large_herd", 0.6, false, milliseconds(1500)},
                    absence{"all", 1, false, milliseconds(1000)},
                    absence{"domain", 0, true, milliseconds(5500)}),
    [](auto const & chosen)
    {
        return std::string(chosen.param.name);
    });

// The target of an owner left while its node could not reach the store, and its
// machine was gone some seconds later. Its accounts were refused for the rest
// of the day: its entry stayed, and a machine that is gone refuses no
// connection.
class allotment_departure_test : public testing::TestWithParam<unsigned>
{
};

TEST_P(allotment_departure_test, accounts_of_a_departed_owner_are_served)
{
    constexpr std::size_t nodes = 12;
    allotment_fleet fleet(nodes, GetParam(), false);
    fleet.add_account("a", {40, 40});
    std::vector<std::size_t> entries(nodes);
    std::iota(entries.begin(), entries.end(), 0);
    fleet.run_load("a", 23, entries, seconds(4));
    auto const owner = fleet.owner("a");
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(owner));
    fleet.depart(owner);
    fleet.run_load("a", 23, entries, seconds(2));
    fleet.vanish(owner);
    auto & a = fleet.accounts.at("a");
    for (int second = 0; second < 12; ++second)
    {
        a.requests = 0;
        a.granted = 0;
        fleet.run_load("a", 23, entries, seconds(1));
        EXPECT_GE(share(a.granted, a.requests), 0.95)
            << second << " s after the machine was gone";
    }
    EXPECT_EQ(a.violations, 0U);
}

// A departed node's next target makes it an owner again.
TEST_P(allotment_departure_test, departure_holds_for_one_target)
{
    time_point const start(seconds(100));
    allotment_directory directory(node_name("a"));
    allotment_directory::node_list nodes(2);
    nodes[0].node = node_name("a");
    nodes[0].target = target_id("t1");
    nodes[1].node = node_name("b");
    nodes[1].target = target_id("t2");
    directory.set_nodes(nodes);
    auto const account = account_name(std::to_string(GetParam()));
    auto const higher = directory.owner(account);
    EXPECT_FALSE(
        directory.record_departure({node_name("b"), target_id("old")}, start));
    EXPECT_TRUE(
        directory.record_departure({node_name("b"), target_id("t2")}, start));
    EXPECT_EQ(directory.owner(account), node_name("a"));
    ASSERT_EQ(directory.departures().size(), 1U);
    nodes[1].target = target_id("t3");
    directory.set_nodes(nodes);
    EXPECT_TRUE(directory.departures().empty());
    EXPECT_EQ(directory.owner(account), higher);
    // an entry that the store has lost is no departure
    directory.set_nodes({nodes[1]});
    EXPECT_TRUE(directory.departures().empty());
    directory.set_nodes(nodes);
    directory.set_own_departure(target_id("t1"));
    ASSERT_EQ(directory.departures().size(), 1U);
    EXPECT_EQ(directory.departures()[0].target, target_id("t1"));
    EXPECT_EQ(directory.owner(account), node_name("b"));
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         allotment_departure_test,
                         testing::Range(1U, 11U));

// ---------------------------------------------------------------------------
// random schedules
// ---------------------------------------------------------------------------

void random_fault(allotment_fleet & fleet, std::size_t nodes)
{
    auto const pick = [&fleet](std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            fleet.generator);
    };
    auto const node = pick(nodes);
    switch (pick(8))
    {
    case 0:
        fleet.kill(node);
        return;
    case 1:
        fleet.kill(node);
        fleet.start(node);
        return;
    case 2:
        fleet.set_paused(node, fleet.is_running(node));
        return;
    case 3:
        fleet.set_cut(node, pick(nodes), true);
        return;
    case 4:
        fleet.isolate(node);
        return;
    case 5:
        // the entry of a dead, paused or isolated node lapses
        fleet.remove_lapsed();
        return;
    default:
        fleet.heal();
        return;
    }
}

class allotment_schedule : public testing::TestWithParam<unsigned>
{
};

// Guards against any sum of tokens beyond the bound: two owners at once, tokens
// used after a pause, grants of an earlier owner
TEST_P(allotment_schedule, bound_holds_in_each_window)
{
    constexpr std::size_t nodes = 5;
    allotment_fleet fleet(nodes, GetParam(), false);
    fleet.add_account("large", {80, 80});
    fleet.add_account("small", {2, 2});
    std::uniform_int_distribution<std::size_t> any(0, nodes - 1);
    for (int round = 0; round < 60; ++round)
    {
        random_fault(fleet, nodes);
        auto const first = any(fleet.generator);
        auto const second = any(fleet.generator);
        for (int part = 0; part < 10; ++part)
        {
            fleet.run_load("large", 320, {first, second}, milliseconds(100));
            fleet.request(first, "small");
        }
    }
    for (auto const & [name, account] : fleet.accounts)
    {
        EXPECT_EQ(account.violations, 0U)
            << name << " " << account.most_in_window;
    }
}

// Guards against two owners at once while targets leave and come back
TEST_P(allotment_schedule, bound_holds_while_nodes_depart_and_return)
{
    constexpr std::size_t nodes = 5;
    allotment_fleet fleet(nodes, GetParam(), false);
    fleet.add_account("large", {80, 80});
    std::uniform_int_distribution<std::size_t> any(0, nodes - 1);
    for (int round = 0; round < 30; ++round)
    {
        auto const node = any(fleet.generator);
        if (!fleet.is_running(node))
        {
            fleet.start(node);
        }
        else if (round % 3 == 0)
        {
            fleet.depart(node);
        }
        else
        {
            fleet.kill(node);
        }
        auto const first = any(fleet.generator);
        auto const second = any(fleet.generator);
        fleet.run_load("large", 320, {first, second}, milliseconds(700));
    }
    auto const & large = fleet.accounts.at("large");
    EXPECT_EQ(large.violations, 0U) << large.most_in_window;
}

// ---------------------------------------------------------------------------
// cuts that refuse connections
// ---------------------------------------------------------------------------

/// @brief a fleet of which some nodes are cut off by refused connections, and
/// an account beyond its allotment that enters on both sides
class refusing_cut : public testing::TestWithParam<unsigned>
{
protected:
    static constexpr std::size_t node_count = 16;
    static constexpr std::size_t domain_count = 4;

    refusing_cut()
    {
        this->fleet.add_account("a", {80, 80});
        this->fleet.run_load("a", 320, all(), seconds(3));
    }

    static std::vector<std::size_t> all()
    {
        std::vector<std::size_t> nodes(node_count);
        std::iota(nodes.begin(), nodes.end(), 0);
        return nodes;
    }

    static std::vector<std::size_t> domain_of(std::size_t node)
    {
        std::vector<std::size_t> members;
        for (std::size_t i = node % domain_count; i < node_count;
             i += domain_count)
        {
            members.push_back(i);
        }
        return members;
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->fleet.generator);
    }

    void expect_bound_held()
    {
        auto const & a = this->fleet.accounts.at("a");
        EXPECT_EQ(a.violations, 0U) << a.most_in_window;
    }

    allotment_fleet fleet{node_count, GetParam(), false};
};

// Both sides of a cut took each other for ended, and elected an owner each.
TEST_P(refusing_cut, of_a_domain_leaves_one_owner)
{
    for (int round = 0; round < 3; ++round)
    {
        this->fleet.refuse_connections_of(domain_of(this->pick(node_count)));
        this->fleet.run_load("a", 320, all(), seconds(6));
        this->fleet.end_cuts();
        this->fleet.run_load(
            "a", 320, all(), milliseconds(300) * (1 + this->pick(8)));
    }
    this->expect_bound_held();
}

TEST_P(refusing_cut, of_single_nodes_leaves_one_owner)
{
    for (int round = 0; round < 3; ++round)
    {
        for (std::size_t i = this->pick(6); i < 6; ++i)
        {
            this->fleet.refuse_connections_of({this->pick(node_count)});
        }
        this->fleet.run_load("a", 320, all(), seconds(6));
        this->fleet.end_cuts();
        this->fleet.run_load(
            "a", 320, all(), milliseconds(300) * (1 + this->pick(8)));
    }
    this->expect_bound_held();
}

TEST_P(refusing_cut, in_one_direction_leaves_one_owner)
{
    for (int round = 0; round < 3; ++round)
    {
        auto const apart = domain_of(this->pick(node_count));
        bool const is_outward = this->pick(2) == 0;
        for (auto const node : apart)
        {
            for (auto const other : all())
            {
                if (other % domain_count != node % domain_count)
                {
                    this->fleet.refuse_connections(is_outward ? node : other,
                                                   is_outward ? other : node);
                }
            }
        }
        this->fleet.run_load("a", 320, all(), seconds(6));
        this->fleet.end_cuts();
        this->fleet.run_load(
            "a", 320, all(), milliseconds(300) * (1 + this->pick(8)));
    }
    this->expect_bound_held();
}

// Processes end and start again on both sides meanwhile, also during the cut.
TEST_P(refusing_cut, beside_kills_leaves_one_owner)
{
    for (int round = 0; round < 6; ++round)
    {
        switch (this->pick(3))
        {
        case 0:
            this->fleet.refuse_connections_of(
                domain_of(this->pick(node_count)));
            break;
        case 1:
            this->fleet.refuse_connections_of({this->pick(node_count)});
            break;
        default:
            this->fleet.end_cuts();
        }
        for (std::size_t i = this->pick(5); i < 5; ++i)
        {
            auto const node = this->pick(node_count);
            this->fleet.kill(node);
            this->fleet.run_load(
                "a", 320, all(), milliseconds(50) * this->pick(20));
            this->fleet.start(node);
        }
        this->fleet.run_load("a", 320, all(), seconds(2));
    }
    this->expect_bound_held();
}

INSTANTIATE_TEST_SUITE_P(seeds, refusing_cut, testing::Range(1U, 21U));

INSTANTIATE_TEST_SUITE_P(seeds, allotment_schedule, testing::Range(1U, 101U));

// of 1,500 seeds, those that exceed the bound, now or earlier
INSTANTIATE_TEST_SUITE_P(rare_seeds,
                         allotment_schedule,
                         testing::Values(950U, 1250U, 864U));

} // namespace
} // namespace endivehinge::tests
