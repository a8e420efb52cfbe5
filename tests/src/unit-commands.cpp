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

std::optional<command_arguments> parse(std::vector<std::string> arguments,
                                       failure & reason)
{
    arguments.insert(arguments.begin(), "drain");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto & word : arguments)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    return command_arguments::parse({{"platform", "IP:PORT", ""},
                                     {"node", "IP:PORT", ""},
                                     {"timeout-s", "SECONDS", ""},
                                     {"wait", "", ""}},
                                    static_cast<int>(arguments.size()),
                                    pointers.data(),
                                    reason);
}

TEST(command_arguments, parses_values_flags_and_repeated_options)
{
    failure reason;
    auto const arguments = parse({"--platform",
                                  "127.0.0.1:1",
                                  "--wait",
                                  "--node=127.0.0.1:2",
                                  "--node",
                                  "127.0.0.1:3"},
                                 reason);
    ASSERT_TRUE(arguments.has_value()) << reason.describe();
    EXPECT_TRUE(arguments->has("wait"));
    EXPECT_EQ(arguments->address("platform", reason)->port, 1);
    EXPECT_EQ(arguments->addresses("node", reason)->size(), 2U);
    EXPECT_EQ(arguments->number("timeout-s", 30, reason), 30);
}

struct invalid_command_line
{
    std::vector<std::string> arguments;
    char const * expected_detail;
};

TEST(command_arguments, invalid_option_is_named_in_failure)
{
    invalid_command_line const cases[] = {
        {{"--platfrom", "x"}, "--platfrom is not an option here"},
        {{"--platform"}, "--platform needs a value"},
        {{"--wait", "now"}, "'now' is too much"},
        {{"-x"}, "-x is not an option here"},
    };
    for (auto const & test_case : cases)
    {
        failure reason;
        EXPECT_FALSE(parse(test_case.arguments, reason))
            << test_case.expected_detail;
        EXPECT_EQ(reason.id, failure_id::invalid_argument);
        EXPECT_EQ(reason.detail, test_case.expected_detail);
    }
}

TEST(command_arguments, invalid_value_is_named_in_failure)
{
    failure reason;
    auto const arguments =
        parse({"--node", "here", "--timeout-s", "0"}, reason);
    ASSERT_TRUE(arguments.has_value());
    EXPECT_FALSE(arguments->address("platform", reason));
    EXPECT_THAT(reason.detail, HasSubstr("--platform IP:PORT is missing"));
    EXPECT_FALSE(arguments->addresses("node", reason));
    EXPECT_THAT(reason.detail, HasSubstr("--node: 'here'"));
    EXPECT_FALSE(arguments->number("timeout-s", 30, reason));
    EXPECT_THAT(reason.detail, HasSubstr("--timeout-s takes"));
}

class no_retry_pause final : public retry_policy
{
public:
    bool wait(int) override
    {
        return false;
    }
};

class configuration_editor_test : public ::testing::Test
{
protected:
    configuration parse_services(std::string const & text)
    {
        auto const result = read_configuration(text, "mesh.yaml", this->reason);
        EXPECT_TRUE(result.has_value()) << this->reason.describe();
        return result.value_or(configuration());
    }

    bool apply(std::string const & text)
    {
        this->edits = {};
        return this->editor.apply(this->parse_services(text),
                                  std::nullopt,
                                  this->edits,
                                  this->reason);
    }

    tools::object_table store;
    no_retry_pause pause;
    configuration_editor editor{store, pause, "aigerim"};
    configuration_editor other_editor{store, pause, "daniyar"};
    edit_result edits;
    failure reason;
};

constexpr char const * two_services = R"(
services:
  - {name: a, depends_on: [b]}
  - {name: b}
)";

TEST_F(configuration_editor_test, apply_writes_only_differing_services)
{
    ASSERT_TRUE(this->apply(two_services));
    EXPECT_THAT(this->edits.changed, ElementsAre("service.a", "service.b"));
    object_version const initial_version = this->edits.version;
    ASSERT_TRUE(this->apply(two_services));
    EXPECT_THAT(this->edits.changed, IsEmpty());
    EXPECT_EQ(this->edits.version, initial_version);
    ASSERT_TRUE(this->apply("services: [{name: a, deadline_ms: 5}]"));
    EXPECT_THAT(this->edits.changed, ElementsAre("service.a", "service.b"));
    EXPECT_EQ(this->store.list(configuration_kind, this->reason)->size(), 1U);
}

TEST_F(configuration_editor_test,
       apply_fails_if_stored_version_exceeds_expected)
{
    ASSERT_TRUE(this->apply(two_services));
    object_version const expected_version = this->edits.version;
    edit_result other_edits;
    ASSERT_TRUE(this->other_editor.apply(
        this->parse_services(
            "services: [{name: a, deadline_ms: 5}, {name: b}]"),
        expected_version,
        other_edits,
        this->reason));
    EXPECT_FALSE(this->editor.apply(this->parse_services(two_services),
                                    expected_version,
                                    this->edits,
                                    this->reason));
    EXPECT_EQ(this->reason.id, failure_id::version_conflict);
    EXPECT_THAT(this->reason.detail, HasSubstr("'daniyar' came first"));
}

TEST_F(configuration_editor_test, drains_and_services_are_changed_independently)
{
    ASSERT_TRUE(this->apply(two_services));
    ASSERT_TRUE(this->other_editor.set_drained(
        entry_subject::domain, "almaty-a", true, this->edits, this->reason));
    ASSERT_TRUE(this->apply("services: [{name: a}]"));
    auto const drained = this->store.get(
        configuration_kind, "failure_domain.almaty-a", this->reason);
    ASSERT_TRUE(drained.has_value());
    auto const stored_entry =
        configuration_entry::parse(drained->name, drained->value, this->reason);
    EXPECT_TRUE(stored_entry->drained);
    EXPECT_EQ(stored_entry->author, "daniyar");
}

// writes as another operator between the read and the write of an edit
class concurrent_write_store final : public object_store
{
public:
    explicit concurrent_write_store(object_store & wrapped_store)
        : backing_store(wrapped_store)
    {
    }

    std::optional<stored_object> get(std::string const & kind,
                                     std::string const & name,
                                     failure & reason) override
    {
        return this->backing_store.get(kind, name, reason);
    }

    std::optional<std::vector<stored_object>> list(std::string const & kind,
                                                   failure & reason) override
    {
        return this->backing_store.list(kind, reason);
    }

    std::optional<object_version> put(std::string const & kind,
                                      std::string const & name,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        configuration_entry other_entry;
        other_entry.subject = entry_subject::target;
        other_entry.name = "booking-1";
        other_entry.author = "daniyar";
        other_entry.drained = false;
        failure ignored;
        static_cast<void>(this->backing_store.put(kind,
                                                  other_entry.object_name(),
                                                  expected,
                                                  other_entry.to_value(),
                                                  ignored));
        return this->backing_store.put(kind, name, expected, value, reason);
    }

    std::optional<object_version> remove(std::string const & kind,
                                         std::string const & name,
                                         object_version expected,
                                         failure & reason) override
    {
        return this->backing_store.remove(kind, name, expected, reason);
    }

    std::optional<watch_result> watch(std::string const & kind,
                                      object_version after,
                                      duration timeout,
                                      failure & reason) override
    {
        return this->backing_store.watch(kind, after, timeout, reason);
    }

private:
    object_store & backing_store;
};

TEST_F(configuration_editor_test,
       conflict_names_author_and_change_of_other_operator)
{
    concurrent_write_store racing_store(this->store);
    configuration_editor late_editor(racing_store, this->pause, "aigerim");
    EXPECT_FALSE(late_editor.set_drained(
        entry_subject::target, "booking-1", true, this->edits, this->reason));
    EXPECT_EQ(this->reason.id, failure_id::version_conflict);
    EXPECT_THAT(this->reason.detail,
                HasSubstr("'daniyar' came first and put it back"));
    EXPECT_THAT(this->edits.changed, IsEmpty());
}

member make_target(char const * name,
                   char const * service,
                   char const * domain,
                   std::uint32_t slots)
{
    member created;
    created.name = node_name(name);
    created.service = service_name(service);
    created.domain = failure_domain(domain);
    created.slots = slots;
    created.accepts_work = true;
    return created;
}

TEST(remaining_capacity, counts_targets_and_slots_left_after_drain)
{
    std::vector<member> members = {make_target("a1", "a", "x", 20),
                                   make_target("a2", "a", "y", 20),
                                   make_target("a3", "a", "z", 10),
                                   make_target("b1", "b", "x", 20),
                                   make_target("c1", "c", "z", 20)};
    members[1].accepts_work = false;
    configuration before;
    configuration after;
    after.drained_domains.emplace("x");
    auto const remaining = remaining_capacity(members, before, after);
    ASSERT_EQ(remaining.size(), 2U);
    EXPECT_EQ(remaining[0].service, service_name("a"));
    EXPECT_EQ(remaining[0].targets_before, 2U);
    EXPECT_EQ(remaining[0].targets_after, 1U);
    EXPECT_EQ(remaining[0].slots_after, 10U);
    EXPECT_EQ(remaining[1].targets_after, 0U);
    EXPECT_TRUE(remaining_capacity(members, after, after).empty());
}

} // namespace
} // namespace endivehinge::detail
