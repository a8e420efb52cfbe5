#include <atomic>  // atomic
#include <memory>  // unique_ptr
#include <string>  // string, to_string
#include <utility> // move
#include <vector>  // vector

#include <absl/time/clock.h> // Now, SleepFor
#include <absl/time/time.h>  // Seconds
#include <gtest/gtest.h>

#include <common/object_table.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/detail/control/control_server.hpp>
#include <endivehinge/detail/node/configuration_service.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr absl::Duration condition_timeout = absl::Seconds(30);

template <class Condition>
bool wait_until(Condition condition)
{
    absl::Time const deadline = absl::Now() + condition_timeout;
    while (!condition())
    {
        if (absl::Now() > deadline)
        {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
}

// a store that can become unavailable or return stale data
class switchable_store final : public object_store
{
public:
    std::optional<stored_object> get(std::string const & kind,
                                     std::string const & name,
                                     failure & reason) override
    {
        return this->table.get(kind, name, reason);
    }

    std::optional<std::vector<stored_object>> list(std::string const & kind,
                                                   failure & reason) override
    {
        return this->table.list(kind, reason);
    }

    std::optional<object_version> put(std::string const & kind,
                                      std::string const & name,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        return this->table.put(kind, name, expected, value, reason);
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
                                      duration wait_limit,
                                      failure & reason) override
    {
        ++this->watch_calls;
        if (this->is_unavailable)
        {
            reason = {failure_id::store_unavailable, "watch", {}, {}};
            return std::nullopt;
        }
        return this->returns_stale_data
                   ? this->stale_table.watch(kind, after, duration(0), reason)
                   : this->table.watch(kind, after, wait_limit, reason);
    }

    tools::object_table table;
    tools::object_table stale_table;
    std::atomic<bool> is_unavailable{false};
    std::atomic<bool> returns_stale_data{false};
    std::atomic<int> watch_calls{0};
};

class test_member_directory final : public member_directory
{
public:
    member_snapshot snapshot() const override
    {
        absl::MutexLock lock(&this->mutex);
        return this->members;
    }

    void add(member const & added)
    {
        absl::MutexLock lock(&this->mutex);
        auto next = *this->members;
        next.push_back(added);
        this->members =
            std::make_shared<std::vector<member> const>(std::move(next));
    }

private:
    mutable absl::Mutex mutex;
    member_snapshot members = std::make_shared<std::vector<member> const>();
};

// a node reduced to its configuration service and control server
struct test_node
{
    test_node(std::string const & name,
              object_store & store,
              test_member_directory & members)
        : client(control_limits())
        , service(node_name(name),
                  failure_domain("a"),
                  store,
                  members,
                  client,
                  holder,
                  time)
    {
        control_handlers handlers;
        handlers.configuration = &this->service;
        failure reason;
        this->server = control_server::start(
            {"127.0.0.1", 0}, handlers, control_limits(), reason);
        member self;
        self.name = node_name(name);
        self.domain = failure_domain("a");
        self.control_address = {"127.0.0.1", this->server->port()};
        members.add(self);
        this->service.start();
    }

    ~test_node()
    {
        this->service.stop();
    }

    bool is_drained(std::string const & domain) const
    {
        return this->holder.current()->is_drained(failure_domain(domain),
                                                  node_name("none"));
    }

    machine_clock time;
    control_client client;
    configuration_holder holder;
    configuration_service service;
    std::unique_ptr<control_server> server;
};

class configuration_service_test : public ::testing::Test
{
protected:
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->nodes.push_back(std::make_unique<test_node>(
                "node-" + std::to_string(this->nodes.size()),
                this->store,
                this->members));
        }
    }

    static object_version set_drained(object_store & store,
                                      std::string const & domain,
                                      bool drained,
                                      object_version expected)
    {
        configuration_entry entry;
        entry.subject = entry_subject::domain;
        entry.name = domain;
        entry.drained = drained;
        failure reason;
        auto const written = store.put(configuration_kind,
                                       entry.object_name(),
                                       expected,
                                       entry.to_value(),
                                       reason);
        EXPECT_TRUE(written.has_value()) << reason.describe();
        return written.value_or(object_version());
    }

    bool wait_until_all_have(object_version version)
    {
        return wait_until(
            [this, version]()
            {
                bool all_current = true;
                for (auto const & node : this->nodes)
                {
                    all_current = all_current &&
                                  node->holder.current()->version >= version;
                }
                return all_current;
            });
    }

    switchable_store store;
    test_member_directory members;
    std::vector<std::unique_ptr<test_node>> nodes;
};

TEST_F(configuration_service_test, all_nodes_apply_platform_changes)
{
    this->start(8);
    auto const drained_version =
        set_drained(this->store, "a", true, object_version());
    EXPECT_TRUE(this->wait_until_all_have(drained_version));
    auto const undrained_version =
        set_drained(this->store, "a", false, drained_version);
    EXPECT_TRUE(this->wait_until_all_have(undrained_version));
    for (auto const & node : this->nodes)
    {
        EXPECT_FALSE(node->is_drained("a"));
    }
}

TEST_F(configuration_service_test,
       new_node_pulls_from_peers_if_platform_is_unavailable)
{
    this->start(4);
    auto const version = set_drained(this->store, "a", true, object_version());
    ASSERT_TRUE(this->wait_until_all_have(version));
    this->store.is_unavailable = true;
    this->start(1);
    EXPECT_TRUE(this->wait_until_all_have(version));
    EXPECT_TRUE(this->nodes.back()->service.is_ready());
    EXPECT_TRUE(this->nodes.back()->is_drained("a"));
}

TEST_F(configuration_service_test, announced_peer_version_triggers_pull)
{
    this->start(2);
    auto const drained_version =
        set_drained(this->store, "a", true, object_version());
    ASSERT_TRUE(this->wait_until_all_have(drained_version));
    this->store.is_unavailable = true;
    // Simulates that only one node received the change from the platform.
    wire::push_request request;
    wire::push_response response;
    auto & changes = *request.mutable_changes();
    changes.set_after(drained_version.value());
    changes.set_upto(drained_version.value() + 1);
    auto & object = *changes.add_objects();
    object.set_name("failure_domain.b");
    object.set_version(drained_version.value() + 1);
    object.set_value(R"({"author":"","write_id":"","drained":true})");
    ASSERT_TRUE(this->nodes[0]->service.push(request, response));
    this->nodes[1]->service.on_peer_version(
        this->members.snapshot()->at(0),
        object_version(drained_version.value() + 1));
    EXPECT_TRUE(
        this->wait_until_all_have(object_version(drained_version.value() + 1)));
    EXPECT_TRUE(this->nodes[1]->is_drained("b"));
}

TEST_F(configuration_service_test,
       stale_platform_data_does_not_revert_configuration)
{
    set_drained(this->store.stale_table, "a", true, object_version());
    this->start(3);
    auto version = set_drained(this->store, "a", true, object_version());
    version = set_drained(this->store, "a", false, version);
    ASSERT_TRUE(this->wait_until_all_have(version));
    this->store.returns_stale_data = true;
    int const watch_calls = this->store.watch_calls;
    ASSERT_TRUE(wait_until(
        [this, watch_calls]()
        {
            return this->store.watch_calls > watch_calls + 12;
        }));
    for (auto const & node : this->nodes)
    {
        EXPECT_EQ(node->holder.current()->version, version);
        EXPECT_FALSE(node->is_drained("a"));
    }
    // A node that starts now must not put an older version in force.
    this->start(1);
    configuration_holder const & holder = this->nodes.back()->holder;
    ASSERT_TRUE(wait_until(
        [&holder]()
        {
            return holder.current()->version > object_version();
        }));
    EXPECT_EQ(holder.current()->version, version);
}

TEST_F(configuration_service_test,
       new_node_without_peers_is_not_ready_until_platform_responds)
{
    this->store.is_unavailable = true;
    this->start(1);
    int const watch_calls = this->store.watch_calls;
    ASSERT_TRUE(wait_until(
        [this, watch_calls]()
        {
            return this->store.watch_calls > watch_calls + 2;
        }));
    EXPECT_FALSE(this->nodes[0]->service.is_ready());
    this->store.is_unavailable = false;
    EXPECT_TRUE(wait_until(
        [this]()
        {
            return this->nodes[0]->service.is_ready();
        }));
}

TEST_F(configuration_service_test, objects_of_other_kinds_do_not_change_version)
{
    this->start(2);
    auto const version = set_drained(this->store, "a", true, object_version());
    ASSERT_TRUE(this->wait_until_all_have(version));
    failure reason;
    object_version latest_version;
    for (int i = 0; i < 50; ++i)
    {
        latest_version =
            *this->store.put("lease", "a", latest_version, "held", reason);
    }
    int const watch_calls = this->store.watch_calls;
    ASSERT_TRUE(wait_until(
        [this, watch_calls]()
        {
            return this->store.watch_calls > watch_calls + 4;
        }));
    EXPECT_EQ(this->nodes[0]->service.version(), version);
    auto const next = set_drained(this->store, "b", true, object_version());
    EXPECT_TRUE(this->wait_until_all_have(next));
}

TEST_F(configuration_service_test, invalid_object_keeps_last_valid_value)
{
    this->start(1);
    auto const valid_version =
        set_drained(this->store, "a", true, object_version());
    ASSERT_TRUE(this->wait_until_all_have(valid_version));
    failure reason;
    auto const invalid_version = this->store.put(
        configuration_kind, "failure_domain.a", valid_version, "{", reason);
    ASSERT_TRUE(invalid_version.has_value());
    ASSERT_TRUE(this->wait_until_all_have(*invalid_version));
    EXPECT_TRUE(this->nodes[0]->is_drained("a"));
}

} // namespace
} // namespace endivehinge::detail
