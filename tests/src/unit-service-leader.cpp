#include <gtest/gtest.h>

#include <endivehinge/coordination/lease_holder.hpp>
#include <endivehinge/coordination/service_leader.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

lease_timing const timing;
time_point const start(seconds(1000));
owner_identity const a{node_name("a"), incarnation(1)};
owner_identity const b{node_name("b"), incarnation(1)};
owner_identity const c{node_name("c"), incarnation(1)};

// an in-memory platform object whose calls complete at once
class service_leader_test : public ::testing::Test
{
protected:
    // makes all calls that are due; a write may lose its response
    void run_store_calls(service_leader & node,
                         bool is_response_received = true)
    {
        while (auto const call = node.next_call(this->now, false))
        {
            if (!call->value.has_value())
            {
                node.on_read({this->object, object_version(this->version)},
                             this->now);
                continue;
            }
            bool const version_matches =
                call->expected.value() == this->version;
            if (version_matches)
            {
                this->object = call->value;
                ++this->version;
            }
            auto const result =
                version_matches ? write_result::done : write_result::conflict;
            node.on_written(is_response_received ? result
                                                 : write_result::unknown,
                            object_version(this->version),
                            this->now);
        }
    }

    bool is_granted(owner_identity const & node, std::uint64_t adopted_epoch)
    {
        return this->leader
            .renew({node, epoch(adopted_epoch), false}, this->now)
            .lease_duration.has_value();
    }

    // adds node b to the service that node a leads
    void join()
    {
        this->run_store_calls(this->leader);
        EXPECT_TRUE(this->is_granted(a, 1));
        EXPECT_FALSE(this->is_granted(b, 0));
        this->now += timing.min_epoch_duration;
        this->run_store_calls(this->leader);
        ASSERT_EQ(this->object->number, epoch(2));
        ASSERT_EQ(this->object->members, (std::vector<owner_identity>{a, b}));
    }

    time_point now = start;
    std::optional<assignment> object;
    std::uint64_t version = 0;
    service_leader leader{a, timing};
    service_leader candidate{b, timing};
};

TEST_F(service_leader_test, first_node_creates_the_object)
{
    this->run_store_calls(this->leader);
    EXPECT_TRUE(this->leader.is_leader(this->now));
    this->run_store_calls(this->candidate);
    EXPECT_FALSE(this->candidate.is_leader(this->now));
    EXPECT_EQ(this->object->leader, a);
}

TEST_F(service_leader_test, no_grant_until_earlier_epoch_is_given_up)
{
    this->join();
    EXPECT_FALSE(this->is_granted(b, 2)) << "a may still act in epoch 1";
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
}

TEST_F(service_leader_test, no_grant_until_earlier_leases_have_expired)
{
    this->join();
    this->now += timing.owner_lease_duration - timing.min_epoch_duration;
    this->run_store_calls(this->leader);
    EXPECT_FALSE(this->is_granted(b, 2));
    this->now += timing.extend_for_drift(timing.owner_lease_duration) -
                 timing.owner_lease_duration;
    EXPECT_TRUE(this->is_granted(b, 2));
}

TEST_F(service_leader_test,
       next_epoch_waits_until_members_adopt_the_current_one)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_FALSE(this->is_granted(c, 0));
    this->now += timing.min_epoch_duration;
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->number, epoch(2))
        << "b would own keys in an epoch that it did not adopt";
    EXPECT_TRUE(this->is_granted(b, 2));
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, (std::vector<owner_identity>{a, b, c}));
}

TEST_F(service_leader_test, silent_member_does_not_delay_the_next_epoch)
{
    this->join();
    this->now += timing.extend_for_drift(timing.owner_lease_duration);
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_FALSE(this->is_granted(c, 0));
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, (std::vector<owner_identity>{a, c}));
}

TEST_F(service_leader_test, silent_owner_is_removed_after_its_lease_expires)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
    this->now += timing.owner_lease_duration;
    EXPECT_TRUE(this->is_granted(a, 2));
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->members.size(), 2U);
    this->now += timing.extend_for_drift(timing.owner_lease_duration) -
                 timing.owner_lease_duration;
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->members, std::vector<owner_identity>{a});
    EXPECT_EQ(this->object->previous.size(), 2U);
}

TEST_F(service_leader_test, owner_lease_ends_before_the_leader_lease)
{
    this->run_store_calls(this->leader);
    duration const leader_lease_duration =
        timing.shorten_for_drift(timing.leader_lease_duration);
    for (duration elapsed{0}; elapsed < leader_lease_duration;
         elapsed += milliseconds(500))
    {
        auto const grant =
            this->leader.renew({a, epoch(1), false}, start + elapsed);
        ASSERT_TRUE(grant.lease_duration.has_value());
        EXPECT_LE(elapsed + *grant.lease_duration, leader_lease_duration);
    }
    EXPECT_FALSE(
        this->leader.renew({a, epoch(1), false}, start + leader_lease_duration)
            .lease_duration);
}

TEST_F(service_leader_test, own_write_with_lost_response_is_recognised)
{
    this->run_store_calls(this->leader, false);
    EXPECT_FALSE(this->leader.is_leader(this->now));
    this->now += timing.platform_read_interval;
    this->run_store_calls(this->leader);
    EXPECT_TRUE(this->leader.is_leader(this->now));
    // the lease counts from the first attempt
    EXPECT_FALSE(this->leader.is_leader(
        start + timing.shorten_for_drift(timing.leader_lease_duration)));
    EXPECT_EQ(this->object->number, epoch(1));
}

TEST_F(service_leader_test, candidate_takes_over_after_the_leader_lease)
{
    this->join();
    this->run_store_calls(this->candidate);
    this->now +=
        timing.extend_for_drift(timing.leader_lease_duration) - milliseconds(1);
    this->run_store_calls(this->candidate);
    EXPECT_FALSE(this->candidate.is_leader(this->now));
    this->now += timing.platform_read_interval * 5;
    this->run_store_calls(this->candidate);
    EXPECT_TRUE(this->candidate.is_leader(this->now));
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, std::vector<owner_identity>{b});
    // the previous leader learns of it with its next write
    EXPECT_FALSE(this->leader.is_leader(this->now));
    this->run_store_calls(this->leader);
    EXPECT_FALSE(this->leader.is_leader(this->now));
}

TEST_F(service_leader_test, no_takeover_while_the_leader_renews)
{
    this->join();
    for (int step = 0; step < 60; ++step)
    {
        this->now += timing.platform_read_interval;
        EXPECT_TRUE(this->leader.renew({b, epoch(2), false}, this->now)
                        .current.has_value());
        this->run_store_calls(this->leader);
        this->run_store_calls(this->candidate);
        ASSERT_FALSE(this->candidate.is_leader(this->now));
    }
}

TEST_F(service_leader_test, leaving_leader_names_its_successor)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
    this->leader.leave();
    this->now += timing.min_epoch_duration;
    this->run_store_calls(this->leader);
    EXPECT_EQ(this->object->leader, b);
    this->run_store_calls(this->candidate);
    ASSERT_TRUE(this->candidate.is_leader(this->now));
    // b does not know which leases a has granted
    EXPECT_FALSE(this->candidate.renew({b, epoch(3), false}, this->now)
                     .lease_duration.has_value());
    EXPECT_FALSE(this->candidate.renew({a, epoch(3), true}, this->now)
                     .lease_duration.has_value());
    EXPECT_TRUE(this->candidate.renew({b, epoch(3), false}, this->now)
                    .lease_duration.has_value());
}

TEST_F(service_leader_test, epochs_do_not_restart_after_object_removal)
{
    this->join();
    this->run_store_calls(this->candidate);
    this->object.reset();
    this->version = 0;
    this->run_store_calls(this->candidate);
    EXPECT_FALSE(this->candidate.is_leader(this->now));
    for (int step = 0; step < 4; ++step)
    {
        this->now += timing.platform_read_interval * 5;
        this->run_store_calls(this->candidate);
    }
    ASSERT_TRUE(this->candidate.is_leader(this->now));
    EXPECT_EQ(this->object->number, epoch(3));
}

// a led the service before and does not know of the leader in between.
TEST_F(service_leader_test, reappointed_leader_waits_for_intermediate_leases)
{
    auto const is_granted_by_candidate =
        [this](owner_identity const & node, std::uint64_t adopted_epoch)
    {
        return this->candidate
            .renew({node, epoch(adopted_epoch), false}, this->now)
            .lease_duration.has_value();
    };
    this->join();
    this->run_store_calls(this->candidate);
    this->now += timing.extend_for_drift(timing.leader_lease_duration);
    this->run_store_calls(this->candidate);
    EXPECT_TRUE(is_granted_by_candidate(b, 3));
    EXPECT_FALSE(is_granted_by_candidate(a, 2));
    this->now += timing.min_epoch_duration;
    this->run_store_calls(this->candidate);
    EXPECT_FALSE(is_granted_by_candidate(a, 4));
    EXPECT_TRUE(is_granted_by_candidate(b, 4));
    this->candidate.leave();
    this->now += timing.min_epoch_duration;
    this->run_store_calls(this->candidate);
    ASSERT_EQ(this->object->leader, a);
    ASSERT_EQ(this->object->number, epoch(5));
    this->run_store_calls(this->leader);
    ASSERT_TRUE(this->leader.is_leader(this->now));
    EXPECT_FALSE(this->is_granted(a, 5)) << "b may still act in epoch 4";
    this->now += timing.extend_for_drift(timing.owner_lease_duration);
    EXPECT_TRUE(this->is_granted(a, 5));
}

assignment make_assignment(std::uint64_t number,
                           std::vector<owner_identity> members)
{
    assignment result;
    result.number = epoch(number);
    result.leader = a;
    result.members = std::move(members);
    return result;
}

class lease_holder_test : public ::testing::Test
{
protected:
    void grant(std::uint64_t number, time_point sent, time_point received)
    {
        lease_grant response;
        response.lease_duration = timing.owner_lease_duration;
        response.current = make_assignment(number, {a});
        this->holder.apply_grant(response, sent, {received, wall_time()});
    }

    lease_holder holder{a, timing, std::chrono::minutes(10)};
};

TEST_F(lease_holder_test, lease_counts_from_the_request)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    time_point const received_time = start + timing.owner_lease_duration / 2;
    this->grant(1, start, received_time);
    EXPECT_EQ(this->holder.lease_end(received_time),
              start + timing.shorten_for_drift(timing.owner_lease_duration));
    EXPECT_FALSE(this->holder.lease_end(start + timing.owner_lease_duration)
                     .has_value());
    // a late response to an earlier renewal does not shorten the lease
    this->grant(1, start - seconds(1), received_time);
    EXPECT_EQ(this->holder.lease_end(received_time),
              start + timing.shorten_for_drift(timing.owner_lease_duration));
}

TEST_F(lease_holder_test, lease_ends_with_its_epoch)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    this->grant(1, start, start);
    this->holder.adopt(make_assignment(2, {a, b}), start);
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
    this->grant(1, start, start);
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
}

TEST_F(lease_holder_test, lease_ends_when_a_newer_epoch_is_observed)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    this->grant(1, start, start);
    EXPECT_TRUE(this->holder.lease_end(start).has_value());
    this->holder.observe(epoch(2));
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
}

TEST(rendezvous_hashing, only_keys_of_the_removed_owner_move)
{
    std::vector<owner_identity> owners;
    for (char const * const name : {"a", "b", "c", "d"})
    {
        owners.push_back({node_name(name), incarnation(1)});
    }
    auto const remaining_owners =
        std::vector<owner_identity>(owners.begin(), owners.end() - 1);
    int last_owner_keys = 0;
    for (int number = 0; number < 4000; ++number)
    {
        idempotency_key const key("order " + std::to_string(number));
        auto const before_removal = *owner_of(key, owners);
        auto const after_removal = *owner_of(key, remaining_owners);
        last_owner_keys += before_removal == owners.back() ? 1 : 0;
        EXPECT_TRUE(before_removal == owners.back() ||
                    before_removal == after_removal);
    }
    EXPECT_GT(last_owner_keys, 800);
    EXPECT_LT(last_owner_keys, 1200);
}

TEST(assignment_text, round_trip_preserves_the_assignment)
{
    auto result = make_assignment(7, {a, b});
    result.renewals = 3;
    result.previous = {b};
    failure reason;
    EXPECT_EQ(assignment::from_text(result.to_text(), reason), result);
    for (char const * const text : {"", "{", "[]", R"({"epoch": 1})"})
    {
        EXPECT_FALSE(assignment::from_text(text, reason).has_value());
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

} // namespace
} // namespace endivehinge
