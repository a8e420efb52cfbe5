#include <string> // string
#include <vector> // vector

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <common/object_table.hpp>
#include <endivehinge/coordination/remaining_capacity.hpp>
#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/configuration_editor.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

std::optional<command_arguments> parse(std::vector<std::string> words,
                                       failure & reason)
{
    words.insert(words.begin(), "drain");
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (auto & word : words)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    return command_arguments::parse({{"platform", "IP:PORT", ""},
                                     {"node", "IP:PORT", ""},
                                     {"timeout-s", "SECONDS", ""},
                                     {"wait", "", ""}},
                                    static_cast<int>(words.size()),
                                    pointers.data(),
                                    reason);
}

TEST(command_arguments, are_read)
{
    failure reason;
    auto const read = parse({"--platform",
                             "127.0.0.1:1",
                             "--wait",
                             "--node=127.0.0.1:2",
                             "--node",
                             "127.0.0.1:3"},
                            reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_TRUE(read->has("wait"));
    EXPECT_EQ(read->address("platform", reason)->port, 1);
    EXPECT_EQ(read->addresses("node", reason)->size(), 2U);
    EXPECT_EQ(read->number("timeout-s", 30, reason), 30);
}

struct bad_line
{
    std::vector<std::string> words;
    char const * said;
};

TEST(command_arguments, that_are_wrong_are_named)
{
    bad_line const cases[] = {
        {{"--platfrom", "x"}, "--platfrom is not an option here"},
        {{"--platform"}, "--platform needs a value"},
        {{"--wait", "now"}, "'now' is too much"},
        {{"-x"}, "-x is not an option here"},
    };
    for (auto const & tried : cases)
    {
        failure reason;
        EXPECT_FALSE(parse(tried.words, reason)) << tried.said;
        EXPECT_EQ(reason.id, failure_id::invalid_argument);
        EXPECT_EQ(reason.detail, tried.said);
    }
}

TEST(command_arguments, values_that_are_wrong_are_named)
{
    failure reason;
    auto const read = parse({"--node", "here", "--timeout-s", "0"}, reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_FALSE(read->address("platform", reason));
    EXPECT_THAT(reason.detail, HasSubstr("--platform IP:PORT is missing"));
    EXPECT_FALSE(read->addresses("node", reason));
    EXPECT_THAT(reason.detail, HasSubstr("--node: 'here'"));
    EXPECT_FALSE(read->number("timeout-s", 30, reason));
    EXPECT_THAT(reason.detail, HasSubstr("--timeout-s takes"));
}

class one_try final : public retry_policy
{
public:
    bool wait(int) override
    {
        return false;
    }
};

class editing : public ::testing::Test
{
protected:
    configuration read(std::string const & text)
    {
        auto const result = read_configuration(text, "mesh.yaml", this->reason);
        EXPECT_TRUE(result.has_value()) << this->reason.describe();
        return result.value_or(configuration());
    }

    bool apply(std::string const & text)
    {
        this->done = {};
        return this->editor.apply(
            this->read(text), std::nullopt, this->done, this->reason);
    }

    tools::object_table store;
    one_try pause;
    configuration_editor editor{store, pause, "aigerim"};
    configuration_editor other{store, pause, "daniyar"};
    edit_result done;
    failure reason;
};

constexpr char const * two_services = R"(
services:
  - {name: a, depends_on: [b]}
  - {name: b}
)";

TEST_F(editing, only_what_differs_is_written)
{
    ASSERT_TRUE(this->apply(two_services));
    EXPECT_THAT(this->done.changed, ElementsAre("service.a", "service.b"));
    object_version const first = this->done.version;
    ASSERT_TRUE(this->apply(two_services));
    EXPECT_THAT(this->done.changed, IsEmpty());
    EXPECT_EQ(this->done.version, first);
    ASSERT_TRUE(this->apply("services: [{name: a, deadline_ms: 5}]"));
    EXPECT_THAT(this->done.changed, ElementsAre("service.a", "service.b"));
    EXPECT_EQ(this->store.list(configuration_kind, this->reason)->size(), 1U);
}

TEST_F(editing, a_later_change_than_expected_is_a_conflict)
{
    ASSERT_TRUE(this->apply(two_services));
    object_version const seen = this->done.version;
    edit_result ours;
    ASSERT_TRUE(this->other.apply(
        this->read("services: [{name: a, deadline_ms: 5}, {name: b}]"),
        seen,
        ours,
        this->reason));
    EXPECT_FALSE(this->editor.apply(
        this->read(two_services), seen, this->done, this->reason));
    EXPECT_EQ(this->reason.id, failure_id::version_conflict);
    EXPECT_THAT(this->reason.detail, HasSubstr("'daniyar' came first"));
}

TEST_F(editing, drains_do_not_touch_services_nor_the_reverse)
{
    ASSERT_TRUE(this->apply(two_services));
    ASSERT_TRUE(this->other.set_drained(
        entry_subject::domain, "almaty-a", true, this->done, this->reason));
    ASSERT_TRUE(this->apply("services: [{name: a}]"));
    auto const drained = this->store.get(
        configuration_kind, "failure_domain.almaty-a", this->reason);
    ASSERT_TRUE(drained.has_value());
    auto const read =
        configuration_entry::parse(drained->name, drained->value, this->reason);
    EXPECT_TRUE(read->drained);
    EXPECT_EQ(read->author, "daniyar");
}

// lets another operator write between the read and the write
class overtaking_store final : public object_store
{
public:
    explicit overtaking_store(object_store & given)
        : inner(given)
    {
    }

    std::optional<stored_object>
    get(std::string const & k, std::string const & n, failure & r) override
    {
        return this->inner.get(k, n, r);
    }

    std::optional<std::vector<stored_object>> list(std::string const & k,
                                                   failure & r) override
    {
        return this->inner.list(k, r);
    }

    std::optional<object_version> put(std::string const & k,
                                      std::string const & n,
                                      object_version expected,
                                      std::string const & value,
                                      failure & r) override
    {
        configuration_entry theirs;
        theirs.subject = entry_subject::target;
        theirs.name = "booking-1";
        theirs.author = "daniyar";
        theirs.drained = false;
        failure ignored;
        static_cast<void>(this->inner.put(
            k, theirs.object_name(), expected, theirs.to_value(), ignored));
        return this->inner.put(k, n, expected, value, r);
    }

    std::optional<object_version> remove(std::string const & k,
                                         std::string const & n,
                                         object_version expected,
                                         failure & r) override
    {
        return this->inner.remove(k, n, expected, r);
    }

    std::optional<watch_result> watch(std::string const & k,
                                      object_version after,
                                      duration patience,
                                      failure & r) override
    {
        return this->inner.watch(k, after, patience, r);
    }

private:
    object_store & inner;
};

TEST_F(editing, a_race_shows_who_won_and_what_they_did)
{
    overtaking_store racing(this->store);
    configuration_editor late(racing, this->pause, "aigerim");
    EXPECT_FALSE(late.set_drained(
        entry_subject::target, "booking-1", true, this->done, this->reason));
    EXPECT_EQ(this->reason.id, failure_id::version_conflict);
    EXPECT_THAT(this->reason.detail,
                HasSubstr("'daniyar' came first and put it back"));
    EXPECT_THAT(this->done.changed, IsEmpty());
}

member target(char const * name,
              char const * service,
              char const * domain,
              std::uint32_t slots)
{
    member one;
    one.name = node_name(name);
    one.service = service_name(service);
    one.domain = failure_domain(domain);
    one.slots = slots;
    one.accepts_work = true;
    return one;
}

TEST(remaining_capacity, counts_what_a_drain_leaves)
{
    std::vector<member> members = {target("a1", "a", "x", 20),
                                   target("a2", "a", "y", 20),
                                   target("a3", "a", "z", 10),
                                   target("b1", "b", "x", 20),
                                   target("c1", "c", "z", 20)};
    members[1].accepts_work = false;
    configuration before;
    configuration after;
    after.drained_domains.emplace("x");
    auto const left = remaining_capacity(members, before, after);
    ASSERT_EQ(left.size(), 2U);
    EXPECT_EQ(left[0].service, service_name("a"));
    EXPECT_EQ(left[0].targets_before, 2U);
    EXPECT_EQ(left[0].targets_after, 1U);
    EXPECT_EQ(left[0].slots_after, 10U);
    EXPECT_EQ(left[1].targets_after, 0U);
    EXPECT_TRUE(remaining_capacity(members, after, after).empty());
}

} // namespace
} // namespace endivehinge::detail
