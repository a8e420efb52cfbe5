#include <atomic> // atomic
#include <memory> // unique_ptr
#include <vector> // vector

#include <absl/time/clock.h> // SleepFor
#include <gtest/gtest.h>

#include <common/object_table.hpp>
#include <endivehinge/detail/membership/contact_list.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr absl::Duration patience = absl::Seconds(60);

// a platform that can be down, loses answers, and counts its writes
class faulty_store final : public object_store
{
public:
    std::atomic<bool> down{false};
    std::atomic<bool> loses_answers{false};
    std::atomic<int> writes{0};

    std::optional<stored_object> get(std::string const & kind,
                                     std::string const & name,
                                     failure & reason) override
    {
        return this->is_up(reason) ? this->table.get(kind, name, reason)
                                   : std::nullopt;
    }

    std::optional<std::vector<stored_object>> list(std::string const & kind,
                                                   failure & reason) override
    {
        return this->is_up(reason) ? this->table.list(kind, reason)
                                   : std::nullopt;
    }

    std::optional<object_version> put(std::string const & kind,
                                      std::string const & name,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        if (!this->is_up(reason))
        {
            return std::nullopt;
        }
        auto const version =
            this->table.put(kind, name, expected, value, reason);
        this->writes += version.has_value() ? 1 : 0;
        if (this->loses_answers)
        {
            reason.id = failure_id::timed_out;
            return std::nullopt;
        }
        return version;
    }

    std::optional<object_version> remove(std::string const & kind,
                                         std::string const & name,
                                         object_version expected,
                                         failure & reason) override
    {
        return this->table.remove(kind, name, expected, reason);
    }

    std::optional<watch_result> watch(std::string const & kind,
                                      object_version after,
                                      duration span,
                                      failure & reason) override
    {
        return this->table.watch(kind, after, span, reason);
    }

private:
    bool is_up(failure & reason) const
    {
        if (this->down)
        {
            reason.id = failure_id::store_unavailable;
        }
        return !this->down;
    }

    tools::object_table table;
};

class listening final : public membership_listener
{
public:
    std::atomic<std::uint64_t> newest{0};

    void on_membership_event(membership_event const & event) override
    {
        if (event.kind == membership_event_kind::newer_configuration)
        {
            this->newest = event.configuration.value();
        }
    }
};

// one node's membership with its contact list
struct test_node
{
    test_node(std::size_t number,
              std::string const & domain,
              object_store & store,
              clock const & time)
        : service(time)
        , contacts(store, this->service)
    {
        failure reason;
        EXPECT_TRUE(this->service.open({"127.0.0.1", 0}, reason))
            << reason.describe();
        member self;
        self.name = node_name("node-" + std::to_string(number));
        self.incarnation_number = incarnation(1);
        self.service = service_name("listings");
        self.domain = failure_domain(domain);
        self.region = region_name("almaty");
        self.peer_address = {"127.0.0.1", 1};
        this->service.announce(self);
        this->service.start(&this->heard);
        this->contacts.start();
    }

    listening heard;
    membership_service service;
    contact_list contacts;
};

class membership_over_udp : public ::testing::Test
{
protected:
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->nodes.push_back(std::make_unique<test_node>(
                this->nodes.size(), "almaty-a", this->store, this->time));
        }
    }

    bool wait_for_members(std::size_t count)
    {
        return wait(
            [this, count]()
            {
                for (auto const & node : this->nodes)
                {
                    if (node->service.snapshot()->size() != count)
                    {
                        return false;
                    }
                }
                return true;
            });
    }

    template <class Condition>
    static bool wait(Condition holds)
    {
        absl::Time const end = absl::Now() + patience;
        while (!holds() && absl::Now() < end)
        {
            absl::SleepFor(absl::Milliseconds(20));
        }
        return holds();
    }

    std::size_t listed_contacts()
    {
        failure reason;
        auto const object = this->store.get("contacts", "almaty-a", reason);
        return object.has_value() ? read_contacts(object->value).size() : 0;
    }

    machine_clock time;
    faulty_store store;
    std::vector<std::unique_ptr<test_node>> nodes;
};

TEST_F(membership_over_udp, nodes_find_each_other_and_see_one_leave)
{
    this->start(6);
    ASSERT_TRUE(this->wait_for_members(6));
    EXPECT_NE(this->nodes[0]->service.address().port, 0);
    EXPECT_EQ(this->nodes[0]->service.self().control_address,
              this->nodes[0]->service.address());

    this->nodes.back()->service.leave();
    this->nodes.pop_back();
    EXPECT_TRUE(this->wait_for_members(5));
}

TEST_F(membership_over_udp, a_configuration_version_is_told_to_all)
{
    this->start(4);
    ASSERT_TRUE(this->wait_for_members(4));
    this->nodes[0]->service.set_configuration_version(object_version(9));
    for (std::size_t i = 1; i < this->nodes.size(); ++i)
    {
        EXPECT_TRUE(wait(
            [this, i]()
            {
                return this->nodes[i]->heard.newest == 9;
            }));
    }
}

TEST_F(membership_over_udp, garbage_is_counted_and_does_no_harm)
{
    this->start(2);
    ASSERT_TRUE(this->wait_for_members(2));
    failure reason;
    auto const stranger = datagram_socket::bind({"127.0.0.1", 0}, reason);
    ASSERT_NE(stranger, nullptr);
    auto const target = this->nodes[0]->service.address();
    ASSERT_TRUE(stranger->send(target, "not a message"));
    ASSERT_TRUE(stranger->send(target, std::string(1900, 'x')));
    EXPECT_TRUE(wait(
        [this]()
        {
            return this->nodes[0]->service.counters().invalid_datagrams == 2;
        }));
    EXPECT_TRUE(this->wait_for_members(2));
}

TEST_F(membership_over_udp, contacts_are_few_and_so_are_the_writes)
{
    this->start(10);
    ASSERT_TRUE(this->wait_for_members(10));
    ASSERT_TRUE(wait(
        [this]()
        {
            return this->listed_contacts() == max_contacts_per_domain;
        }));
    EXPECT_EQ(this->store.writes, 3);
}

TEST_F(membership_over_udp, nodes_join_once_the_platform_is_back)
{
    this->store.down = true;
    this->start(3);
    absl::SleepFor(absl::Seconds(1));
    EXPECT_EQ(this->nodes[0]->service.snapshot()->size(), 1U);
    this->store.down = false;
    EXPECT_TRUE(this->wait_for_members(3));
}

TEST_F(membership_over_udp, members_stay_known_while_the_platform_is_down)
{
    this->start(3);
    ASSERT_TRUE(this->wait_for_members(3));
    this->store.down = true;
    this->nodes.pop_back();
    EXPECT_TRUE(this->wait_for_members(2));
}

TEST_F(membership_over_udp, a_write_whose_answer_is_lost_counts_once)
{
    this->store.loses_answers = true;
    this->start(3);
    ASSERT_TRUE(this->wait_for_members(3));
    EXPECT_TRUE(wait(
        [this]()
        {
            return this->listed_contacts() == 3;
        }));
    EXPECT_EQ(this->store.writes, 3);
}

TEST(contacts, a_value_that_nobody_wrote_is_left_out)
{
    constexpr char const * host_name =
        R"([{"node":"a","run":1,"control":"name:1"}])";
    for (char const * const text :
         {"", "{}", "[1]", R"([{"node":"a"}])", host_name})
    {
        EXPECT_TRUE(read_contacts(text).empty()) << text;
    }
}

} // namespace
} // namespace endivehinge::detail
