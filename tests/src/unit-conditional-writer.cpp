#include <string> // string
#include <vector> // vector

#include <absl/random/random.h> // BitGen
#include <gtest/gtest.h>

#include <common/object_table.hpp>
#include <endivehinge/coordination/backoff.hpp>
#include <endivehinge/coordination/conditional_writer.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/core/token_bucket.hpp>

namespace endivehinge
{
namespace
{

constexpr char const * kind = "configuration";
constexpr char const * name = "service.booking";

enum class store_fault
{
    none,
    unavailable,      // the call fails without effect
    lost_response,    // the write takes effect, its response is lost
    concurrent_write, // another operator writes before this call
    stale_read,       // a read returns the initial object
};

// injects a sequence of faults into the calls of an in-memory object table
class fault_injecting_store final : public object_store
{
public:
    explicit fault_injecting_store(std::vector<store_fault> faults)
        : fault_sequence(std::move(faults))
    {
        failure reason;
        this->initial_version =
            *this->table.put(kind, name, {}, "first", reason);
    }

    std::optional<stored_object> get(std::string const & object_kind,
                                     std::string const & object_name,
                                     failure & reason) override
    {
        switch (this->next_fault())
        {
        case store_fault::unavailable:
        case store_fault::lost_response:
            reason = {failure_id::store_unavailable, "get", {}, {}};
            return std::nullopt;
        case store_fault::stale_read:
            return stored_object{object_kind,
                                 object_name,
                                 this->initial_version,
                                 "first",
                                 false};
        default:
            return this->table.get(object_kind, object_name, reason);
        }
    }

    std::optional<std::vector<stored_object>>
    list(std::string const & object_kind, failure & reason) override
    {
        return this->table.list(object_kind, reason);
    }

    std::optional<object_version> put(std::string const & object_kind,
                                      std::string const & object_name,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        store_fault const injected = this->next_fault();
        if (injected == store_fault::unavailable)
        {
            reason = {failure_id::connect_failed, "put", {}, {}};
            return std::nullopt;
        }
        if (injected == store_fault::concurrent_write)
        {
            failure ignored;
            auto const stored =
                this->table.get(object_kind, object_name, ignored);
            static_cast<void>(this->table.put(
                object_kind, object_name, stored->version, "other", ignored));
        }
        auto const version =
            this->table.put(object_kind, object_name, expected, value, reason);
        if (injected == store_fault::lost_response)
        {
            reason = {failure_id::timed_out, "put", {}, {}};
            return std::nullopt;
        }
        return version;
    }

    std::optional<object_version> remove(std::string const & object_kind,
                                         std::string const & object_name,
                                         object_version expected,
                                         failure & reason) override
    {
        store_fault const injected = this->next_fault();
        auto const version =
            this->table.remove(object_kind, object_name, expected, reason);
        if (injected == store_fault::lost_response)
        {
            reason = {failure_id::timed_out, "remove", {}, {}};
            return std::nullopt;
        }
        return version;
    }

    std::optional<watch_result> watch(std::string const & object_kind,
                                      object_version after,
                                      duration timeout,
                                      failure & reason) override
    {
        return this->table.watch(object_kind, after, timeout, reason);
    }

    tools::object_table table;
    object_version initial_version;

private:
    store_fault next_fault()
    {
        return this->call_count < this->fault_sequence.size()
                   ? this->fault_sequence[this->call_count++]
                   : store_fault::none;
    }

    std::vector<store_fault> fault_sequence;
    std::size_t call_count = 0;
};

class three_attempts final : public retry_policy
{
public:
    bool wait(int failures) override
    {
        return failures < 3;
    }
};

struct write_case
{
    char const * description;
    // one fault per call: put, read back, put, read back, ...
    std::vector<store_fault> fault_sequence;
    failure_id expected;
    char const * stored_value;
};

class conditional_write_test : public ::testing::TestWithParam<write_case>
{
};

TEST_P(conditional_write_test, report_the_outcome)
{
    auto const & test_case = this->GetParam();
    fault_injecting_store store(test_case.fault_sequence);
    three_attempts policy;
    conditional_writer writer(store, policy);
    failure reason;
    auto const written =
        writer.put(kind, name, store.initial_version, "ours", reason);
    EXPECT_EQ(written.has_value(), test_case.expected == failure_id::none)
        << test_case.description << ": " << reason.describe();
    if (!written.has_value())
    {
        EXPECT_EQ(reason.id, test_case.expected) << test_case.description;
    }
    auto const stored = store.table.get(kind, name, reason);
    EXPECT_EQ(stored->value, test_case.stored_value) << test_case.description;
    if (written.has_value())
    {
        EXPECT_EQ(stored->version, *written) << test_case.description;
    }
}

using fault = store_fault;

INSTANTIATE_TEST_SUITE_P(
    table,
    conditional_write_test,
    ::testing::Values(
        write_case{"no fault", {}, failure_id::none, "ours"},
        write_case{"response lost, then read back",
                   {fault::lost_response},
                   failure_id::none,
                   "ours"},
        write_case{
            "response lost, stale read, own write found on retry",
            {fault::lost_response, fault::stale_read, fault::none, fault::none},
            failure_id::none,
            "ours"},
        write_case{"response lost, then an outage",
                   {fault::lost_response,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable},
                   failure_id::outcome_unknown,
                   "ours"},
        write_case{"unavailable for one attempt",
                   {fault::unavailable, fault::unavailable},
                   failure_id::none,
                   "ours"},
        write_case{"unavailable for all attempts",
                   {fault::unavailable,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable,
                    fault::unavailable},
                   failure_id::connect_failed,
                   "first"},
        write_case{"concurrent write",
                   {fault::concurrent_write},
                   failure_id::version_conflict,
                   "other"},
        write_case{"concurrent write, stale read",
                   {fault::concurrent_write,
                    fault::stale_read,
                    fault::none,
                    fault::none},
                   failure_id::version_conflict,
                   "other"},
        write_case{"concurrent write, all reads fail",
                   {fault::concurrent_write,
                    fault::unavailable,
                    fault::none,
                    fault::unavailable,
                    fault::none,
                    fault::unavailable},
                   failure_id::version_conflict,
                   "other"},
        write_case{
            "response lost, then a concurrent write",
            {fault::lost_response, fault::unavailable, fault::concurrent_write},
            failure_id::version_conflict,
            "other"}));

TEST(conditional_removal, succeeds_if_the_response_is_lost)
{
    fault_injecting_store store({store_fault::lost_response});
    three_attempts policy;
    conditional_writer writer(store, policy);
    failure reason;
    EXPECT_TRUE(writer.remove(kind, name, store.initial_version, reason));
    EXPECT_FALSE(store.table.get(kind, name, reason));
}

TEST(conditional_removal, fails_after_a_concurrent_write)
{
    fault_injecting_store store({});
    three_attempts policy;
    conditional_writer writer(store, policy);
    failure reason;
    ASSERT_TRUE(
        store.table.put(kind, name, store.initial_version, "other", reason));
    EXPECT_FALSE(writer.remove(kind, name, store.initial_version, reason));
    EXPECT_EQ(reason.id, failure_id::version_conflict);
    EXPECT_EQ(reason.detail, "other");
}

TEST(token_bucket, limits_the_rate_after_the_burst)
{
    token_bucket budget(2, 3);
    time_point now{std::chrono::seconds(100)};
    int granted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        granted += budget.try_take(now) ? 1 : 0;
        now += std::chrono::milliseconds(10);
    }
    // 10 s at 2 calls per second, plus the burst of 3
    EXPECT_LE(granted, 23);
    EXPECT_GE(granted, 22);
}

TEST(backoff, doubles_its_bound_and_adds_jitter)
{
    absl::BitGen random;
    duration const initial_bound = std::chrono::milliseconds(100);
    duration const max_bound = std::chrono::milliseconds(350);
    backoff retry_backoff(initial_bound, max_bound);
    duration bound = initial_bound;
    for (int i = 0; i < 6; ++i)
    {
        duration const delay = retry_backoff.next_delay(random);
        EXPECT_GE(delay, bound / 2);
        EXPECT_LE(delay, bound);
        bound = std::min(max_bound, bound * 2);
    }
    retry_backoff.reset();
    EXPECT_LE(retry_backoff.next_delay(random), initial_bound);
}

TEST(configuration_entry, round_trips_through_json)
{
    configuration_entry entry;
    entry.subject = entry_subject::domain;
    entry.name = "almaty-a";
    entry.author = "aigerim";
    entry.write_id = "7";
    entry.drained = true;
    failure reason;
    EXPECT_EQ(entry.object_name(), "failure_domain.almaty-a");
    auto const read = configuration_entry::parse(
        entry.object_name(), entry.to_value(), reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(read->subject, entry_subject::domain);
    EXPECT_EQ(read->name, "almaty-a");
    EXPECT_EQ(read->author, "aigerim");
    EXPECT_TRUE(read->drained);
}

TEST(configuration_entry, rejects_malformed_objects)
{
    struct
    {
        char const * object;
        char const * value;
    } const cases[] = {
        {"service.a", "{"},
        {"service.a", "[]"},
        {"service.a", R"({"author":"a","write_id":"b"})"},
        {"service.a", R"({"author":1,"write_id":"b","text":""})"},
        {"target.a", R"({"author":"a","write_id":"b","text":""})"},
        {"service.", R"({"author":"a","write_id":"b","text":""})"},
        {"root", R"({"author":"a","write_id":"b","text":""})"},
    };

    for (auto const & test_case : cases)
    {
        failure reason;
        EXPECT_FALSE(configuration_entry::parse(
            test_case.object, test_case.value, reason))
            << test_case.object << test_case.value;
        EXPECT_EQ(reason.peer, test_case.object);
    }
}

} // namespace
} // namespace endivehinge
