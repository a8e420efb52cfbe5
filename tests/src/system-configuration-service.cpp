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

constexpr absl::Duration generous = absl::Seconds(30);

template <class Condition>
bool eventually(Condition condition)
{
    absl::Time const deadline = absl::Now() + generous;
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

// a platform that can be away, or give what it held before
class switchable_store final : public object_store
{
public:
    std::optional<stored_object>
    get(std::string const & k, std::string const & n, failure & r) override
    {
        return this->table.get(k, n, r);
    }

    std::optional<std::vector<stored_object>> list(std::string const & k,
                                                   failure & r) override
    {
        return this->table.list(k, r);
    }

    std::optional<object_version> put(std::string const & k,
                                      std::string const & n,
                                      object_version e,
                                      std::string const & value,
                                      failure & r) override
    {
        return this->table.put(k, n, e, value, r);
    }

    std::optional<object_version> remove(std::string const & k,
                                         std::string const & n,
                                         object_version e,
                                         failure & r) override
    {
        return this->table.remove(k, n, e, r);
    }

    std::optional<watch_result> watch(std::string const & k,
                                      object_version after,
                                      duration patience,
                                      failure & reason) override
    {
        ++this->calls;
        if (this->away)
        {
            reason = {failure_id::store_unavailable, "watch", {}, {}};
            return std::nullopt;
        }
        return this->old ? this->before.watch(k, after, duration(0), reason)
                         : this->table.watch(k, after, patience, reason);
    }

    tools::object_table table;
    tools::object_table before;
    std::atomic<bool> away{false};
    std::atomic<bool> old{false};
    std::atomic<int> calls{0};
};

class shared_directory final : public member_directory
{
public:
    member_snapshot snapshot() const override
    {
        absl::MutexLock lock(&this->mutex);
        return this->members;
    }

    void add(member const & one)
    {
        absl::MutexLock lock(&this->mutex);
        auto next = *this->members;
        next.push_back(one);
        this->members =
            std::make_shared<std::vector<member> const>(std::move(next));
    }

private:
    mutable absl::Mutex mutex;
    member_snapshot members = std::make_shared<std::vector<member> const>();
};

// the part of a node that keeps the configuration
struct small_node
{
    small_node(std::string const & name,
               object_store & store,
               shared_directory & members)
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

    ~small_node()
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

class configuration_nodes : public ::testing::Test
{
protected:
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->nodes.push_back(std::make_unique<small_node>(
                "node-" + std::to_string(this->nodes.size()),
                this->store,
                this->members));
        }
    }

    static object_version drain(object_store & store,
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

    bool all_have(object_version version)
    {
        return eventually(
            [this, version]()
            {
                bool all = true;
                for (auto const & one : this->nodes)
                {
                    all = all && one->holder.current()->version >= version;
                }
                return all;
            });
    }

    switchable_store store;
    shared_directory members;
    std::vector<std::unique_ptr<small_node>> nodes;
};

TEST_F(configuration_nodes, a_change_comes_into_force_everywhere)
{
    this->start(8);
    auto const first = drain(this->store, "a", true, object_version());
    EXPECT_TRUE(this->all_have(first));
    auto const second = drain(this->store, "a", false, first);
    EXPECT_TRUE(this->all_have(second));
    for (auto const & one : this->nodes)
    {
        EXPECT_FALSE(one->is_drained("a"));
    }
}

TEST_F(configuration_nodes, a_fresh_node_learns_from_peers_in_an_outage)
{
    this->start(4);
    auto const version = drain(this->store, "a", true, object_version());
    ASSERT_TRUE(this->all_have(version));
    this->store.away = true;
    this->start(1);
    EXPECT_TRUE(this->all_have(version));
    EXPECT_TRUE(this->nodes.back()->service.is_ready());
    EXPECT_TRUE(this->nodes.back()->is_drained("a"));
}

TEST_F(configuration_nodes, what_a_cut_node_missed_comes_with_a_datagram)
{
    this->start(2);
    auto const first = drain(this->store, "a", true, object_version());
    ASSERT_TRUE(this->all_have(first));
    this->store.away = true;
    // as if one node alone had reached the platform
    wire::push_request request;
    wire::push_response response;
    auto & changes = *request.mutable_changes();
    changes.set_after(first.value());
    changes.set_upto(first.value() + 1);
    auto & object = *changes.add_objects();
    object.set_name("failure_domain.b");
    object.set_version(first.value() + 1);
    object.set_value(R"({"author":"","write_id":"","drained":true})");
    ASSERT_TRUE(this->nodes[0]->service.push(request, response));
    this->nodes[1]->service.on_peer_version(this->members.snapshot()->at(0),
                                            object_version(first.value() + 1));
    EXPECT_TRUE(this->all_have(object_version(first.value() + 1)));
    EXPECT_TRUE(this->nodes[1]->is_drained("b"));
}

TEST_F(configuration_nodes, old_data_from_the_platform_reverts_nothing)
{
    drain(this->store.before, "a", true, object_version());
    this->start(3);
    auto version = drain(this->store, "a", true, object_version());
    version = drain(this->store, "a", false, version);
    ASSERT_TRUE(this->all_have(version));
    this->store.old = true;
    int const calls = this->store.calls;
    ASSERT_TRUE(eventually(
        [this, calls]()
        {
            return this->store.calls > calls + 12;
        }));
    for (auto const & one : this->nodes)
    {
        EXPECT_EQ(one->holder.current()->version, version);
        EXPECT_FALSE(one->is_drained("a"));
    }
    // one that starts meanwhile serves by nothing older
    this->start(1);
    configuration_holder const & holder = this->nodes.back()->holder;
    ASSERT_TRUE(eventually(
        [&holder]()
        {
            return holder.current()->version > object_version();
        }));
    EXPECT_EQ(holder.current()->version, version);
}

TEST_F(configuration_nodes, a_lone_fresh_node_in_an_outage_serves_nothing)
{
    this->store.away = true;
    this->start(1);
    int const calls = this->store.calls;
    ASSERT_TRUE(eventually(
        [this, calls]()
        {
            return this->store.calls > calls + 2;
        }));
    EXPECT_FALSE(this->nodes[0]->service.is_ready());
    this->store.away = false;
    EXPECT_TRUE(eventually(
        [this]()
        {
            return this->nodes[0]->service.is_ready();
        }));
}

TEST_F(configuration_nodes, objects_of_other_kinds_change_no_version)
{
    this->start(2);
    auto const version = drain(this->store, "a", true, object_version());
    ASSERT_TRUE(this->all_have(version));
    failure reason;
    object_version last;
    for (int i = 0; i < 50; ++i)
    {
        last = *this->store.put("lease", "a", last, "held", reason);
    }
    int const calls = this->store.calls;
    ASSERT_TRUE(eventually(
        [this, calls]()
        {
            return this->store.calls > calls + 4;
        }));
    EXPECT_EQ(this->nodes[0]->service.version(), version);
    auto const next = drain(this->store, "b", true, object_version());
    EXPECT_TRUE(this->all_have(next));
}

TEST_F(configuration_nodes, an_object_that_does_not_read_keeps_its_last_value)
{
    this->start(1);
    auto const good = drain(this->store, "a", true, object_version());
    ASSERT_TRUE(this->all_have(good));
    failure reason;
    auto const bad = this->store.put(
        configuration_kind, "failure_domain.a", good, "{", reason);
    ASSERT_TRUE(bad.has_value());
    ASSERT_TRUE(this->all_have(*bad));
    EXPECT_TRUE(this->nodes[0]->is_drained("a"));
}

} // namespace
} // namespace endivehinge::detail
