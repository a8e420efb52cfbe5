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

// the platform's object, with calls that end at once
class lease : public ::testing::Test
{
protected:
    // makes the calls that are due; a write can lose its answer
    void serve(service_leader & one, bool answers = true)
    {
        while (auto const call = one.next_call(this->now, false))
        {
            if (!call->value.has_value())
            {
                one.on_read({this->object, object_version(this->version)},
                            this->now);
                continue;
            }
            bool const fits = call->expected.value() == this->version;
            if (fits)
            {
                this->object = call->value;
                ++this->version;
            }
            auto const result =
                fits ? write_result::done : write_result::conflict;
            one.on_written(answers ? result : write_result::unknown,
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

    // node b joins node a, which keeps
    void join()
    {
        this->serve(this->leader);
        EXPECT_TRUE(this->is_granted(a, 1));
        EXPECT_FALSE(this->is_granted(b, 0));
        this->now += timing.min_epoch_duration;
        this->serve(this->leader);
        ASSERT_EQ(this->object->number, epoch(2));
        ASSERT_EQ(this->object->members, (std::vector<owner_identity>{a, b}));
    }

    time_point now = start;
    std::optional<assignment> object;
    std::uint64_t version = 0;
    service_leader leader{a, timing};
    service_leader other{b, timing};
};

TEST_F(lease, the_first_node_makes_the_object)
{
    this->serve(this->leader);
    EXPECT_TRUE(this->leader.is_leader(this->now));
    this->serve(this->other);
    EXPECT_FALSE(this->other.is_leader(this->now));
    EXPECT_EQ(this->object->leader, a);
}

TEST_F(lease, an_epoch_waits_until_the_earlier_one_is_given_up)
{
    this->join();
    EXPECT_FALSE(this->is_granted(b, 2)) << "a may act under epoch 1";
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
}

TEST_F(lease, an_epoch_waits_until_the_earlier_leases_have_ended)
{
    this->join();
    this->now += timing.owner_lease_duration - timing.min_epoch_duration;
    this->serve(this->leader);
    EXPECT_FALSE(this->is_granted(b, 2));
    this->now += timing.longer(timing.owner_lease_duration) -
                 timing.owner_lease_duration;
    EXPECT_TRUE(this->is_granted(b, 2));
}

TEST_F(lease, an_epoch_waits_until_its_members_have_taken_in_the_last_one)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_FALSE(this->is_granted(c, 0));
    this->now += timing.min_epoch_duration;
    this->serve(this->leader);
    EXPECT_EQ(this->object->number, epoch(2))
        << "b would own keys in an epoch that it never heard of";
    EXPECT_TRUE(this->is_granted(b, 2));
    this->serve(this->leader);
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, (std::vector<owner_identity>{a, b, c}));
}

TEST_F(lease, a_member_that_is_silent_does_not_hold_up_the_next_epoch)
{
    this->join();
    this->now += timing.longer(timing.owner_lease_duration);
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_FALSE(this->is_granted(c, 0));
    this->serve(this->leader);
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, (std::vector<owner_identity>{a, c}));
}

TEST_F(lease, an_owner_is_taken_out_after_its_last_lease)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
    this->now += timing.owner_lease_duration;
    EXPECT_TRUE(this->is_granted(a, 2));
    this->serve(this->leader);
    EXPECT_EQ(this->object->members.size(), 2U);
    this->now += timing.longer(timing.owner_lease_duration) -
                 timing.owner_lease_duration;
    this->serve(this->leader);
    EXPECT_EQ(this->object->members, std::vector<owner_identity>{a});
    EXPECT_EQ(this->object->previous.size(), 2U);
}

TEST_F(lease, an_owner_lease_ends_before_the_keepers)
{
    this->serve(this->leader);
    duration const kept = timing.shorter(timing.leader_lease_duration);
    for (duration passed{0}; passed < kept; passed += milliseconds(500))
    {
        auto const grant =
            this->leader.renew({a, epoch(1), false}, start + passed);
        ASSERT_TRUE(grant.lease_duration.has_value());
        EXPECT_LE(passed + *grant.lease_duration, kept);
    }
    EXPECT_FALSE(
        this->leader.renew({a, epoch(1), false}, start + kept).lease_duration);
}

TEST_F(lease, a_write_without_an_answer_is_recognised_as_the_own)
{
    this->serve(this->leader, false);
    EXPECT_FALSE(this->leader.is_leader(this->now));
    this->now += timing.platform_read_interval;
    this->serve(this->leader);
    EXPECT_TRUE(this->leader.is_leader(this->now));
    // counted from the first try
    EXPECT_FALSE(this->leader.is_leader(
        start + timing.shorter(timing.leader_lease_duration)));
    EXPECT_EQ(this->object->number, epoch(1));
}

TEST_F(lease, another_takes_over_after_the_whole_lease)
{
    this->join();
    this->serve(this->other);
    this->now += timing.longer(timing.leader_lease_duration) - milliseconds(1);
    this->serve(this->other);
    EXPECT_FALSE(this->other.is_leader(this->now));
    this->now += timing.platform_read_interval * 5;
    this->serve(this->other);
    EXPECT_TRUE(this->other.is_leader(this->now));
    EXPECT_EQ(this->object->number, epoch(3));
    EXPECT_EQ(this->object->members, std::vector<owner_identity>{b});
    // the earlier keeper finds out with its next write
    EXPECT_FALSE(this->leader.is_leader(this->now));
    this->serve(this->leader);
    EXPECT_FALSE(this->leader.is_leader(this->now));
}

TEST_F(lease, a_keeper_that_renews_is_not_taken_over)
{
    this->join();
    for (int step = 0; step < 60; ++step)
    {
        this->now += timing.platform_read_interval;
        EXPECT_TRUE(this->leader.renew({b, epoch(2), false}, this->now)
                        .current.has_value());
        this->serve(this->leader);
        this->serve(this->other);
        ASSERT_FALSE(this->other.is_leader(this->now));
    }
}

TEST_F(lease, a_keeper_that_leaves_names_the_next_one)
{
    this->join();
    EXPECT_TRUE(this->is_granted(a, 2));
    EXPECT_TRUE(this->is_granted(b, 2));
    this->leader.leave();
    this->now += timing.min_epoch_duration;
    this->serve(this->leader);
    EXPECT_EQ(this->object->leader, b);
    this->serve(this->other);
    ASSERT_TRUE(this->other.is_leader(this->now));
    // what a granted is not known to b
    EXPECT_FALSE(this->other.renew({b, epoch(3), false}, this->now)
                     .lease_duration.has_value());
    EXPECT_FALSE(this->other.renew({a, epoch(3), true}, this->now)
                     .lease_duration.has_value());
    EXPECT_TRUE(this->other.renew({b, epoch(3), false}, this->now)
                    .lease_duration.has_value());
}

TEST_F(lease, a_removed_object_does_not_take_its_epochs_back)
{
    this->join();
    this->serve(this->other);
    this->object.reset();
    this->version = 0;
    this->serve(this->other);
    EXPECT_FALSE(this->other.is_leader(this->now));
    for (int step = 0; step < 4; ++step)
    {
        this->now += timing.platform_read_interval * 5;
        this->serve(this->other);
    }
    ASSERT_TRUE(this->other.is_leader(this->now));
    EXPECT_EQ(this->object->number, epoch(3));
}

// it has not heard of the keeper in between, and kept the same service before
TEST_F(lease, a_keeper_that_is_named_again_waits_for_the_leases_in_between)
{
    auto const is_granted_by_other =
        [this](owner_identity const & node, std::uint64_t adopted_epoch)
    {
        return this->other.renew({node, epoch(adopted_epoch), false}, this->now)
            .lease_duration.has_value();
    };
    this->join();
    this->serve(this->other);
    this->now += timing.longer(timing.leader_lease_duration);
    this->serve(this->other);
    EXPECT_TRUE(is_granted_by_other(b, 3));
    EXPECT_FALSE(is_granted_by_other(a, 2));
    this->now += timing.min_epoch_duration;
    this->serve(this->other);
    EXPECT_FALSE(is_granted_by_other(a, 4));
    EXPECT_TRUE(is_granted_by_other(b, 4));
    this->other.leave();
    this->now += timing.min_epoch_duration;
    this->serve(this->other);
    ASSERT_EQ(this->object->leader, a);
    ASSERT_EQ(this->object->number, epoch(5));
    this->serve(this->leader);
    ASSERT_TRUE(this->leader.is_leader(this->now));
    EXPECT_FALSE(this->is_granted(a, 5)) << "b acts under epoch 4";
    this->now += timing.longer(timing.owner_lease_duration);
    EXPECT_TRUE(this->is_granted(a, 5));
}

assignment make_assignment(std::uint64_t number,
                           std::vector<owner_identity> members)
{
    assignment made;
    made.number = epoch(number);
    made.leader = a;
    made.members = std::move(members);
    return made;
}

class held_lease : public ::testing::Test
{
protected:
    void grant(std::uint64_t number, time_point sent, time_point came)
    {
        lease_grant granted;
        granted.lease_duration = timing.owner_lease_duration;
        granted.current = make_assignment(number, {a});
        this->holder.apply_grant(granted, sent, {came, wall_time()});
    }

    lease_holder holder{a, timing, std::chrono::minutes(10)};
};

TEST_F(held_lease, counts_from_when_it_was_asked_for)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    time_point const answered = start + timing.owner_lease_duration / 2;
    this->grant(1, start, answered);
    EXPECT_EQ(this->holder.lease_end(answered),
              start + timing.shorter(timing.owner_lease_duration));
    EXPECT_FALSE(this->holder.lease_end(start + timing.owner_lease_duration)
                     .has_value());
    // an answer to an earlier renewal does not shorten it
    this->grant(1, start - seconds(1), answered);
    EXPECT_EQ(this->holder.lease_end(answered),
              start + timing.shorter(timing.owner_lease_duration));
}

TEST_F(held_lease, ends_with_its_epoch)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    this->grant(1, start, start);
    this->holder.adopt(make_assignment(2, {a, b}), start);
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
    this->grant(1, start, start);
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
}

TEST_F(held_lease, ends_where_a_newer_epoch_is_heard_of)
{
    this->holder.adopt(make_assignment(1, {a}), start);
    this->grant(1, start, start);
    EXPECT_TRUE(this->holder.lease_end(start).has_value());
    this->holder.observe(epoch(2));
    EXPECT_FALSE(this->holder.lease_end(start).has_value());
}

TEST(rendezvous, moves_only_the_keys_of_the_owner_that_goes)
{
    std::vector<owner_identity> owners;
    for (char const * const name : {"a", "b", "c", "d"})
    {
        owners.push_back({node_name(name), incarnation(1)});
    }
    auto const without =
        std::vector<owner_identity>(owners.begin(), owners.end() - 1);
    int of_last = 0;
    for (int number = 0; number < 4000; ++number)
    {
        idempotency_key const key("order " + std::to_string(number));
        auto const before = *owner_of(key, owners);
        auto const later = *owner_of(key, without);
        of_last += before == owners.back() ? 1 : 0;
        EXPECT_TRUE(before == owners.back() || before == later);
    }
    EXPECT_GT(of_last, 800);
    EXPECT_LT(of_last, 1200);
}

TEST(assignment_text, comes_back_as_it_was)
{
    auto made = make_assignment(7, {a, b});
    made.renewals = 3;
    made.previous = {b};
    failure reason;
    EXPECT_EQ(assignment::from_text(made.to_text(), reason), made);
    for (char const * const text : {"", "{", "[]", R"({"epoch": 1})"})
    {
        EXPECT_FALSE(assignment::from_text(text, reason).has_value());
        EXPECT_EQ(reason.id, failure_id::invalid_message);
    }
}

} // namespace
} // namespace endivehinge
