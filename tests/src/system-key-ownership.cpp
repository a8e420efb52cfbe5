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

constexpr absl::Duration patience = absl::Seconds(30);
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

class shared_directory final : public member_directory
{
public:
    member_snapshot snapshot() const override
    {
        absl::MutexLock lock(&this->mutex);
        return std::make_shared<std::vector<member> const>(this->members);
    }

    void add(member const & one)
    {
        absl::MutexLock lock(&this->mutex);
        this->members.push_back(one);
    }

private:
    mutable absl::Mutex mutex;
    std::vector<member> members;
};

// the parts of one node that have to do with keys
class owner_node
{
public:
    owner_node(std::string const & name,
               shared_directory & directory,
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
        member announced;
        announced.name = this->self.name;
        announced.run = this->self.incarnation_number;
        announced.service = booking;
        announced.control_address = {"127.0.0.1", this->server->port()};
        directory.add(announced);
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
        ASSERT_TRUE(this->wait(
            [this, count]()
            {
                return this->leased() == count;
            }));
    }

    // the nodes that hold a lease of one epoch, in which all are members
    std::size_t leased() const
    {
        std::size_t leased = 0;
        for (auto const & one : this->nodes)
        {
            auto const current = one->ownership.current();
            bool const is_whole = current.has_value() &&
                                  current->members.size() == this->nodes.size();
            leased += is_whole && one->ownership.holds_lease() ? 1 : 0;
        }
        return leased;
    }

    static bool wait(std::function<bool()> const & condition)
    {
        absl::Time const deadline = absl::Now() + patience;
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

    request make_request(std::string const & key, duration left) const
    {
        request made;
        made.id = request_id("caller-1-1");
        made.service = booking;
        made.key = idempotency_key(key);
        made.message = {"POST", "/booking/hours", {}, "console 3"};
        made.deadline = this->time.now() + left;
        return made;
    }

    owner_node & owner(std::string const & key)
    {
        auto const current = this->nodes.front()->ownership.current();
        auto const * const found =
            owner_of(idempotency_key(key), current->members);
        for (auto & one : this->nodes)
        {
            if (one->self == *found)
            {
                return *one;
            }
        }
        return *this->nodes.front();
    }

    outcome use(std::string const & key, duration left = seconds(5))
    {
        return this->owner(key).ownership.execute_as_owner(
            this->make_request(key, left),
            [this](request const &)
            {
                ++this->runs;
                return outcome::answered({200, {}, "booked"});
            });
    }

    machine_clock time;
    tests::fallible_store store;
    shared_directory directory;
    std::vector<std::unique_ptr<owner_node>> nodes;
    std::atomic<int> runs{0};
};

TEST_F(key_ownership_test, concurrent_duplicates_share_one_run)
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
                auto const result = this->use("order 1");
                answered += result.answer.body == "booked" ? 1 : 0;
            });
    }
    for (auto & caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(this->runs, 1);
    EXPECT_EQ(answered, 8);
}

TEST_F(key_ownership_test, a_duplicate_is_not_told_that_it_did_not_run)
{
    this->start(1);
    absl::Notification begun;
    absl::Notification may_end;
    std::thread first(
        [&]()
        {
            auto const result = this->nodes[0]->ownership.execute_as_owner(
                this->make_request("order 1", seconds(20)),
                [&](request const & bounded)
                {
                    EXPECT_TRUE(bounded.owner_epoch.has_value());
                    EXPECT_LT(bounded.deadline, this->time.now() + seconds(1));
                    begun.Notify();
                    may_end.WaitForNotification();
                    return outcome::answered({200, {}, "booked"});
                });
            EXPECT_EQ(result.kind, outcome_kind::answered);
        });
    begun.WaitForNotification();
    auto const late = this->use("order 1", milliseconds(50));
    EXPECT_EQ(late.kind, outcome_kind::indeterminate);
    may_end.Notify();
    first.join();
    EXPECT_EQ(this->use("order 1").answer.body, "booked");
    EXPECT_EQ(this->runs, 0);
}

TEST_F(key_ownership_test, another_node_refuses_a_key_that_it_does_not_own)
{
    this->start(2);
    auto & right = this->owner("order 1");
    auto & wrong =
        &right == this->nodes[0].get() ? *this->nodes[1] : *this->nodes[0];
    auto const result = wrong.ownership.execute_as_owner(
        this->make_request("order 1", seconds(5)),
        [](request const &)
        {
            return outcome::answered({});
        });
    EXPECT_EQ(result.kind, outcome_kind::rejected);
    EXPECT_EQ(result.reason.id, failure_id::stale_epoch);
    failure reason;
    auto const found =
        wrong.locator.locate(booking, idempotency_key("order 1"), reason);
    ASSERT_TRUE(found.has_value()) << reason.describe();
    EXPECT_EQ(found->owner.name, right.self.name);
}

TEST_F(key_ownership_test, a_node_that_leaves_hands_its_answers_over)
{
    this->start(3);
    std::vector<std::string> keys;
    for (int number = 0; number < 30; ++number)
    {
        keys.push_back(absl::StrCat("order ", number));
        auto const result = this->use(keys.back());
        EXPECT_EQ(result.kind, outcome_kind::answered)
            << result.reason.describe();
    }
    // the first node keeps, too
    auto const gone = std::move(this->nodes.front());
    this->nodes.erase(this->nodes.begin());
    EXPECT_TRUE(gone->service.leave(patience));
    ASSERT_TRUE(this->wait(
        [this]()
        {
            return this->leased() == 2;
        }));
    for (auto const & key : keys)
    {
        EXPECT_EQ(this->use(key).answer.body, "booked") << key;
    }
    EXPECT_EQ(this->runs, 30);
    EXPECT_EQ(this->use("order 30").kind, outcome_kind::answered);
}

TEST_F(key_ownership_test, a_node_that_is_gone_leaves_its_keys_unknown)
{
    this->start(2);
    std::vector<std::string> keys;
    auto & gone = *this->nodes.front();
    for (int number = 0; number < 20; ++number)
    {
        std::string const key = absl::StrCat("order ", number);
        if (&this->owner(key) == &gone)
        {
            keys.push_back(key);
            EXPECT_EQ(this->use(key).kind, outcome_kind::answered);
        }
    }
    ASSERT_FALSE(keys.empty());
    int const before = this->runs;
    gone.service.stop();
    this->nodes.erase(this->nodes.begin());
    ASSERT_TRUE(this->wait(
        [this]()
        {
            return this->leased() == 1;
        }));
    for (auto const & key : keys)
    {
        auto const result = this->use(key);
        EXPECT_EQ(result.kind, outcome_kind::indeterminate);
        EXPECT_EQ(result.reason.id, failure_id::outcome_unknown);
    }
    EXPECT_EQ(this->runs, before);
}

TEST_F(key_ownership_test, without_the_platform_keys_are_refused_then_served)
{
    this->start(2);
    this->store.unavailable = true;
    ASSERT_TRUE(this->wait(
        [this]()
        {
            return this->leased() == 0;
        }));
    auto const refused = this->use("order 1");
    EXPECT_EQ(refused.kind, outcome_kind::rejected);
    EXPECT_EQ(refused.reason.id, failure_id::lease_expired);
    EXPECT_GT(refused.retry_after, duration(0));
    EXPECT_EQ(this->runs, 0);
    this->store.unavailable = false;
    ASSERT_TRUE(this->wait(
        [this]()
        {
            return this->leased() == 2;
        }));
    EXPECT_EQ(this->use("order 1").kind, outcome_kind::answered);
}

TEST_F(key_ownership_test, an_older_epoch_is_not_admitted)
{
    this->start(1);
    auto & one = this->nodes.front()->ownership;
    epoch const number = one.current()->number;
    EXPECT_TRUE(one.admit_epoch(number));
    EXPECT_TRUE(one.admit_epoch(epoch(number.value() + 1)));
    EXPECT_FALSE(one.admit_epoch(number));
    EXPECT_EQ(this->use("order 1").reason.id, failure_id::lease_expired);
}

} // namespace
} // namespace endivehinge::detail
