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

enum class fault
{
    none,
    away,        // the call fails and has no effect
    lost_answer, // the write takes effect, its answer is lost
    overtaken,   // another operator writes before this call
    old_data,    // a read sees nothing that was written since the start
};

// puts the faults of a script before and behind a table of objects
class faulty_store final : public object_store
{
public:
    explicit faulty_store(std::vector<fault> faults)
        : script(std::move(faults))
    {
        failure reason;
        this->start = *this->table.put(kind, name, {}, "first", reason);
    }

    std::optional<stored_object>
    get(std::string const & k, std::string const & n, failure & reason) override
    {
        switch (this->next())
        {
        case fault::away:
        case fault::lost_answer:
            reason = {failure_id::store_unavailable, "get", {}, {}};
            return std::nullopt;
        case fault::old_data:
            return stored_object{k, n, this->start, "first", false};
        default:
            return this->table.get(k, n, reason);
        }
    }

    std::optional<std::vector<stored_object>> list(std::string const & k,
                                                   failure & reason) override
    {
        return this->table.list(k, reason);
    }

    std::optional<object_version> put(std::string const & k,
                                      std::string const & n,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        fault const now = this->next();
        if (now == fault::away)
        {
            reason = {failure_id::connect_failed, "put", {}, {}};
            return std::nullopt;
        }
        if (now == fault::overtaken)
        {
            failure ignored;
            auto const held = this->table.get(k, n, ignored);
            static_cast<void>(
                this->table.put(k, n, held->version, "other", ignored));
        }
        auto const version = this->table.put(k, n, expected, value, reason);
        if (now == fault::lost_answer)
        {
            reason = {failure_id::timed_out, "put", {}, {}};
            return std::nullopt;
        }
        return version;
    }

    std::optional<object_version> remove(std::string const & k,
                                         std::string const & n,
                                         object_version expected,
                                         failure & reason) override
    {
        fault const now = this->next();
        auto const version = this->table.remove(k, n, expected, reason);
        if (now == fault::lost_answer)
        {
            reason = {failure_id::timed_out, "remove", {}, {}};
            return std::nullopt;
        }
        return version;
    }

    std::optional<watch_result> watch(std::string const & k,
                                      object_version after,
                                      duration patience,
                                      failure & reason) override
    {
        return this->table.watch(k, after, patience, reason);
    }

    tools::object_table table;
    object_version start;

private:
    fault next()
    {
        return this->calls < this->script.size() ? this->script[this->calls++]
                                                 : fault::none;
    }

    std::vector<fault> script;
    std::size_t calls = 0;
};

class three_tries final : public retry_policy
{
public:
    bool wait(int failures) override
    {
        return failures < 3;
    }
};

struct write_case
{
    char const * title;
    // in turn: put, read back, put, read back, ...
    std::vector<fault> script;
    failure_id expected;
    char const * value_after;
};

class conditional_writes : public ::testing::TestWithParam<write_case>
{
};

TEST_P(conditional_writes, tell_what_became_of_them)
{
    auto const & tried = this->GetParam();
    faulty_store store(tried.script);
    three_tries pause;
    conditional_writer writer(store, pause);
    failure reason;
    auto const written = writer.put(kind, name, store.start, "ours", reason);
    EXPECT_EQ(written.has_value(), tried.expected == failure_id::none)
        << tried.title << ": " << reason.describe();
    if (!written.has_value())
    {
        EXPECT_EQ(reason.id, tried.expected) << tried.title;
    }
    auto const held = store.table.get(kind, name, reason);
    EXPECT_EQ(held->value, tried.value_after) << tried.title;
    if (written.has_value())
    {
        EXPECT_EQ(held->version, *written) << tried.title;
    }
}

using f = fault;

INSTANTIATE_TEST_SUITE_P(
    table,
    conditional_writes,
    ::testing::Values(
        write_case{"plain", {}, failure_id::none, "ours"},
        write_case{"answer lost, read back",
                   {f::lost_answer},
                   failure_id::none,
                   "ours"},
        write_case{"answer lost, read lags, own write met again",
                   {f::lost_answer, f::old_data, f::none, f::none},
                   failure_id::none,
                   "ours"},
        write_case{
            "answer lost, then an outage",
            {f::lost_answer, f::away, f::away, f::away, f::away, f::away},
            failure_id::outcome_unknown,
            "ours"},
        write_case{
            "away at first", {f::away, f::away}, failure_id::none, "ours"},
        write_case{"away all along",
                   {f::away, f::away, f::away, f::away, f::away, f::away},
                   failure_id::connect_failed,
                   "first"},
        write_case{"another came first",
                   {f::overtaken},
                   failure_id::version_conflict,
                   "other"},
        write_case{"another came first, reads lag",
                   {f::overtaken, f::old_data, f::none, f::none},
                   failure_id::version_conflict,
                   "other"},
        write_case{"another came first, no read at all",
                   {f::overtaken, f::away, f::none, f::away, f::none, f::away},
                   failure_id::version_conflict,
                   "other"},
        write_case{"answer lost, another after it",
                   {f::lost_answer, f::away, f::overtaken},
                   failure_id::version_conflict,
                   "other"}));

TEST(conditional_removal, is_settled_where_its_answer_is_lost)
{
    faulty_store store({fault::lost_answer});
    three_tries pause;
    conditional_writer writer(store, pause);
    failure reason;
    EXPECT_TRUE(writer.remove(kind, name, store.start, reason));
    EXPECT_FALSE(store.table.get(kind, name, reason));
}

TEST(conditional_removal, does_not_undo_another_write)
{
    faulty_store store({});
    three_tries pause;
    conditional_writer writer(store, pause);
    failure reason;
    ASSERT_TRUE(store.table.put(kind, name, store.start, "other", reason));
    EXPECT_FALSE(writer.remove(kind, name, store.start, reason));
    EXPECT_EQ(reason.id, failure_id::version_conflict);
    EXPECT_EQ(reason.detail, "other");
}

TEST(token_bucket, holds_its_rate_after_its_burst)
{
    token_bucket budget(2, 3);
    time_point now{std::chrono::seconds(100)};
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        taken += budget.try_take(now) ? 1 : 0;
        now += std::chrono::milliseconds(10);
    }
    // ten seconds at two a second, and the burst
    EXPECT_LE(taken, 23);
    EXPECT_GE(taken, 22);
}

TEST(backoff, doubles_its_bound_and_spreads_below_it)
{
    absl::BitGen random;
    duration const first = std::chrono::milliseconds(100);
    duration const longest = std::chrono::milliseconds(350);
    backoff waits(first, longest);
    duration bound = first;
    for (int i = 0; i < 6; ++i)
    {
        duration const wait = waits.next_delay(random);
        EXPECT_GE(wait, bound / 2);
        EXPECT_LE(wait, bound);
        bound = std::min(longest, bound * 2);
    }
    waits.reset();
    EXPECT_LE(waits.next_delay(random), first);
}

TEST(configuration_entry, is_read_back_as_it_was_written)
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

TEST(configuration_entry, what_is_none_is_refused)
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

    for (auto const & tried : cases)
    {
        failure reason;
        EXPECT_FALSE(
            configuration_entry::parse(tried.object, tried.value, reason))
            << tried.object << tried.value;
        EXPECT_EQ(reason.peer, tried.object);
    }
}

} // namespace
} // namespace endivehinge
