#include <atomic>     // atomic
#include <functional> // function
#include <memory>     // unique_ptr, make_shared
#include <thread>     // thread
#include <vector>     // vector

#include <absl/strings/str_cat.h>              // StrCat
#include <absl/synchronization/mutex.h>        // Mutex
#include <absl/synchronization/notification.h> // Notification
#include <absl/time/clock.h>                   // Now, SleepFor
#include <gtest/gtest.h>

#include <endivehinge/detail/control/control_server.hpp>
#include <endivehinge/detail/node/owner_locator.hpp>
#include <endivehinge/detail/node/ownership_service.hpp>

#include "fallible_store.hpp"

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr absl::Duration condition_timeout = absl::Seconds(30);
service_name const booking("booking");

lease_timing short_leases()
{
    lease_timing timing;
    timing.leader_lease_duration = seconds(2);
    timing.leader_renewal_interval = milliseconds(400);
    timing.owner_lease_duration = seconds(1);
    timing.heartbeat_interval = milliseconds(200);
    timing.lease_acquisition_interval = milliseconds(50);
    timing.min_epoch_duration = milliseconds(100);
    timing.platform_read_interval = milliseconds(200);
    return timing;
}

class test_member_directory final : public member_directory
{
public:
    member_snapshot snapshot() const override
    {
        absl::MutexLock lock(&this->mutex);
        return std::make_shared<std::vector<member> const>(this->members);
    }

    void add(member const & added)
    {
        absl::MutexLock lock(&this->mutex);
        this->members.push_back(added);
    }

private:
    mutable absl::Mutex mutex;
    std::vector<member> members;
};

// a node reduced to key ownership, its service and an owner locator
class owner_node
{
public:
    owner_node(std::string const & name,
               test_member_directory & directory,
               object_store & store)
        : self{node_name(name), incarnation(1)}
        , ownership(
              self, booking, short_leases(), idempotency_limits(), this->time)
        , service(self,
                  booking,
                  this->ownership,
                  directory,
                  store,
                  this->client,
                  this->time)
        , locator(service_name("elsewhere"),
                  this->ownership,
                  directory,
                  store,
                  this->client,
                  this->time)
    {
        control_handlers handlers;
        handlers.lease = &this->ownership;
        failure reason;
        this->server = control_server::start(
            {"127.0.0.1", 0}, handlers, control_limits(), reason);
        member node_member;
        node_member.name = this->self.name;
        node_member.incarnation_number = this->self.incarnation_number;
        node_member.service = booking;
        node_member.control_address = {"127.0.0.1", this->server->port()};
        directory.add(node_member);
        this->service.start();
    }

    machine_clock time;
    owner_identity self;
    control_client client{control_limits()};
    key_ownership ownership;
    ownership_service service;
    owner_locator locator;
    std::unique_ptr<control_server> server;
};

class key_ownership_test : public ::testing::Test
{
protected:
    void start(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            this->nodes.push_back(std::make_unique<owner_node>(
                absl::StrCat("booking-", index), this->directory, this->store));
        }
        ASSERT_TRUE(this->wait_until(
            [this, count]()
            {
                return this->count_lease_holders() == count;
            }));
    }

    // Counts the nodes that hold a lease of an epoch of which all nodes are
    // members.
    std::size_t count_lease_holders() const
    {
        std::size_t holder_count = 0;
        for (auto const & node : this->nodes)
        {
            auto const current = node->ownership.current();
            bool const includes_all_nodes =
                current.has_value() &&
                current->members.size() == this->nodes.size();
            holder_count +=
                includes_all_nodes && node->ownership.holds_lease() ? 1 : 0;
        }
        return holder_count;
    }

    static bool wait_until(std::function<bool()> const & condition)
    {
        absl::Time const deadline = absl::Now() + condition_timeout;
        while (!condition())
        {
            if (absl::Now() > deadline)
            {
                return false;
            }
            absl::SleepFor(absl::Milliseconds(10));
        }
        return true;
    }

    request make_request(std::string const & key, duration time_left) const
    {
        request result;
        result.id = request_id("caller-1-1");
        result.service = booking;
        result.key = idempotency_key(key);
        result.message = {"POST", "/booking/hours", {}, "console 3"};
        result.deadline = this->time.now() + time_left;
        return result;
    }

    owner_node & owner(std::string const & key)
    {
        auto const current = this->nodes.front()->ownership.current();
        auto const * const located_owner =
            owner_of(idempotency_key(key), current->members);
        for (auto & node : this->nodes)
        {
            if (node->self == *located_owner)
            {
                return *node;
            }
        }
        return *this->nodes.front();
    }

    outcome execute(std::string const & key, duration time_left = seconds(5))
    {
        return this->owner(key).ownership.execute_as_owner(
            this->make_request(key, time_left),
            [this](request const &)
            {
                ++this->dispatch_count;
                return outcome::answered({200, {}, "booked"});
            });
    }

    machine_clock time;
    tests::fallible_store store;
    test_member_directory directory;
    std::vector<std::unique_ptr<owner_node>> nodes;
    std::atomic<int> dispatch_count{0};
};

TEST_F(key_ownership_test, concurrent_duplicates_execute_once)
{
    this->start(1);
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> answered{0};
    for (int number = 0; number < 8; ++number)
    {
        callers.emplace_back(
            [this, &answered]()
            {
                auto const result = this->execute("order 1");
                answered += result.answer.body == "booked" ? 1 : 0;
            });
    }
    for (auto & caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(this->dispatch_count, 1);
    EXPECT_EQ(answered, 8);
}

TEST_F(key_ownership_test,
       duplicate_of_running_request_is_indeterminate_at_deadline)
{
    this->start(1);
    absl::Notification started;
    absl::Notification may_finish;
    std::thread first(
        [&]()
        {
            auto const result = this->nodes[0]->ownership.execute_as_owner(
                this->make_request("order 1", seconds(20)),
                [&](request const & bounded)
                {
                    EXPECT_TRUE(bounded.owner_epoch.has_value());
                    EXPECT_LT(bounded.deadline, this->time.now() + seconds(1));
                    started.Notify();
                    may_finish.WaitForNotification();
                    return outcome::answered({200, {}, "booked"});
                });
            EXPECT_EQ(result.kind, outcome_kind::answered);
        });
    started.WaitForNotification();
    auto const duplicate_result = this->execute("order 1", milliseconds(50));
    EXPECT_EQ(duplicate_result.kind, outcome_kind::indeterminate);
    may_finish.Notify();
    first.join();
    EXPECT_EQ(this->execute("order 1").answer.body, "booked");
    EXPECT_EQ(this->dispatch_count, 0);
}

TEST_F(key_ownership_test, node_rejects_key_owned_by_another_node)
{
    this->start(2);
    auto & owner_of_key = this->owner("order 1");
    auto & other_node = &owner_of_key == this->nodes[0].get() ? *this->nodes[1]
                                                              : *this->nodes[0];
    auto const result = other_node.ownership.execute_as_owner(
        this->make_request("order 1", seconds(5)),
        [](request const &)
        {
            return outcome::answered({});
        });
    EXPECT_EQ(result.kind, outcome_kind::rejected);
    EXPECT_EQ(result.reason.id, failure_id::stale_epoch);
    failure reason;
    auto const located_owner =
        other_node.locator.locate(booking, idempotency_key("order 1"), reason);
    ASSERT_TRUE(located_owner.has_value()) << reason.describe();
    EXPECT_EQ(located_owner->owner.name, owner_of_key.self.name);
}

TEST_F(key_ownership_test, leaving_node_hands_over_its_responses)
{
    this->start(3);
    std::vector<std::string> keys;
    for (int number = 0; number < 30; ++number)
    {
        keys.push_back(absl::StrCat("order ", number));
        auto const result = this->execute(keys.back());
        EXPECT_EQ(result.kind, outcome_kind::answered)
            << result.reason.describe();
    }
    // The first node is also the leader.
    auto const removed_node = std::move(this->nodes.front());
    this->nodes.erase(this->nodes.begin());
    EXPECT_TRUE(removed_node->service.leave(condition_timeout));
    ASSERT_TRUE(this->wait_until(
        [this]()
        {
            return this->count_lease_holders() == 2;
        }));
    for (auto const & key : keys)
    {
        EXPECT_EQ(this->execute(key).answer.body, "booked") << key;
    }
    EXPECT_EQ(this->dispatch_count, 30);
    EXPECT_EQ(this->execute("order 30").kind, outcome_kind::answered);
}

TEST_F(key_ownership_test, keys_of_stopped_owner_have_unknown_outcome)
{
    this->start(2);
    std::vector<std::string> keys;
    auto & removed_node = *this->nodes.front();
    for (int number = 0; number < 20; ++number)
    {
        std::string const key = absl::StrCat("order ", number);
        if (&this->owner(key) == &removed_node)
        {
            keys.push_back(key);
            EXPECT_EQ(this->execute(key).kind, outcome_kind::answered);
        }
    }
    ASSERT_FALSE(keys.empty());
    int const previous_dispatch_count = this->dispatch_count;
    removed_node.service.stop();
    this->nodes.erase(this->nodes.begin());
    ASSERT_TRUE(this->wait_until(
        [this]()
        {
            return this->count_lease_holders() == 1;
        }));
    for (auto const & key : keys)
    {
        auto const result = this->execute(key);
        EXPECT_EQ(result.kind, outcome_kind::indeterminate);
        EXPECT_EQ(result.reason.id, failure_id::outcome_unknown);
    }
    EXPECT_EQ(this->dispatch_count, previous_dispatch_count);
}

TEST_F(key_ownership_test, keys_are_rejected_while_platform_is_unavailable)
{
    this->start(2);
    this->store.unavailable = true;
    ASSERT_TRUE(this->wait_until(
        [this]()
        {
            return this->count_lease_holders() == 0;
        }));
    auto const refused = this->execute("order 1");
    EXPECT_EQ(refused.kind, outcome_kind::rejected);
    EXPECT_EQ(refused.reason.id, failure_id::lease_expired);
    EXPECT_GT(refused.retry_after, duration(0));
    EXPECT_EQ(this->dispatch_count, 0);
    this->store.unavailable = false;
    ASSERT_TRUE(this->wait_until(
        [this]()
        {
            return this->count_lease_holders() == 2;
        }));
    EXPECT_EQ(this->execute("order 1").kind, outcome_kind::answered);
}

TEST_F(key_ownership_test, older_epoch_is_not_admitted)
{
    this->start(1);
    auto & ownership = this->nodes.front()->ownership;
    epoch const number = ownership.current()->number;
    EXPECT_TRUE(ownership.admit_epoch(number));
    EXPECT_TRUE(ownership.admit_epoch(epoch(number.value() + 1)));
    EXPECT_FALSE(ownership.admit_epoch(number));
    EXPECT_EQ(this->execute("order 1").reason.id, failure_id::lease_expired);
}

} // namespace
} // namespace endivehinge::detail
