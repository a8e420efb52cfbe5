#include <optional> // optional

#include <gtest/gtest.h>

#include <endivehinge/policy/account_check.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

client_account account(char const * name, std::vector<std::string> keys)
{
    client_account result;
    result.name = account_name(name);
    result.keys = std::move(keys);
    return result;
}

routing_configuration configuration_with(std::vector<client_account> accounts)
{
    routing_configuration configuration;
    failure reason;
    EXPECT_TRUE(configuration.set_accounts(std::move(accounts), reason))
        << reason.describe();
    return configuration;
}

client_credentials key(char const * text)
{
    return {credentials_kind::key, text};
}

// A key found for an account other than its own would run requests under a
// wrong name.
TEST(account_directory, finds_the_account_of_each_key)
{
    std::optional original = configuration_with(
        {account("b", {"key-3"}), account("a", {"key-1", "key-2", "key-1"})});
    // the index must not refer to the accounts that it was copied from
    auto const copy = *original;
    original.reset();
    for (auto const & [text, name] :
         {std::pair("key-1", "a"), {"key-2", "a"}, {"key-3", "b"}})
    {
        EXPECT_EQ(copy.find_account_of_key(text)->name, account_name(name));
        EXPECT_EQ(copy.find_account_of_key(digest_of_key(text))->name,
                  account_name(name));
    }
    for (auto const * const unknown : {"", "key", "key-12", "KEY-1"})
    {
        EXPECT_EQ(copy.find_account_of_key(unknown), nullptr) << unknown;
    }
    EXPECT_EQ(copy.find_account(account_name("b"))->name, account_name("b"));
    EXPECT_EQ(copy.find_account(account_name("c")), nullptr);
}

// A configuration with an ambiguous key must not replace the one in force, and
// its failure must not reveal the key.
TEST(account_directory, rejects_empty_and_shared_keys)
{
    auto configuration = configuration_with({account("a", {"secret"})});
    for (auto const & keys :
         {std::vector<std::string>{""}, std::vector<std::string>{"secret"}})
    {
        failure reason;
        EXPECT_FALSE(configuration.set_accounts(
            {account("x", {"secret"}), account("y", keys)}, reason));
        EXPECT_EQ(reason.id, failure_id::invalid_configuration);
        EXPECT_EQ(reason.peer, "y");
        EXPECT_EQ(reason.describe().find("secret"), std::string::npos);
    }
    EXPECT_EQ(configuration.find_account_of_key("secret")->name,
              account_name("a"));
}

struct check_case
{
    char const * text;
    client_credentials credentials;
    bool is_public;
    std::optional<duration> age;
    account_verdict verdict;
    account_cause cause;
};

// Load: valid, unknown and absent keys at nodes in contact with the store, cut
// off from it and just started. A 401 for a new account, or an admission on
// unconfirmed data, breaks a promise to clients.
TEST(account_check, decides_by_credentials_route_and_age)
{
    auto const configuration = configuration_with({account("a", {"key-1"})});
    client_credentials const none;
    client_credentials const ambiguous{credentials_kind::ambiguous, ""};
    auto const admitted = account_verdict::admitted;
    auto const unauthorized = account_verdict::unauthorized;
    auto const unavailable = account_verdict::unavailable;
    for (auto const & test_case : std::vector<check_case>{
             {"known", key("key-1"), false, seconds(1), admitted, {}},
             {"known, cut off", key("key-1"), false, seconds(60), admitted, {}},
             {"known, just started",
              key("key-1"),
              false,
              std::nullopt,
              unavailable,
              account_cause::unconfirmed},
             {"unknown",
              key("key-2"),
              false,
              seconds(3),
              unauthorized,
              account_cause::unknown_key},
             {"unknown, cut off",
              key("key-2"),
              false,
              milliseconds(3001),
              unavailable,
              account_cause::stale},
             {"unknown on a public route",
              key("key-2"),
              true,
              seconds(1),
              unauthorized,
              account_cause::unknown_key},
             {"absent",
              none,
              false,
              seconds(1),
              unauthorized,
              account_cause::no_key},
             {"absent, cut off",
              none,
              false,
              seconds(4),
              unavailable,
              account_cause::stale},
             {"absent on a public route",
              none,
              true,
              std::nullopt,
              admitted,
              {}},
             {"two fields",
              ambiguous,
              true,
              std::nullopt,
              unauthorized,
              account_cause::ambiguous_key}})
    {
        auto const decision = check_account(configuration,
                                            test_case.credentials,
                                            test_case.is_public,
                                            test_case.age,
                                            account_check_bounds());
        EXPECT_EQ(decision.verdict, test_case.verdict) << test_case.text;
        EXPECT_EQ(decision.cause, test_case.cause) << test_case.text;
        EXPECT_EQ(decision.account != nullptr,
                  test_case.verdict == admitted &&
                      test_case.credentials.kind == credentials_kind::key)
            << test_case.text;
    }
}

// An old configuration without accounts must leave requests alone.
TEST(account_check, admits_everything_without_accounts)
{
    for (auto const & credentials :
         {client_credentials(), key("key-1"), key("")})
    {
        auto const decision = check_account(routing_configuration(),
                                            credentials,
                                            false,
                                            std::nullopt,
                                            account_check_bounds());
        EXPECT_EQ(decision.verdict, account_verdict::admitted);
        EXPECT_EQ(decision.account, nullptr);
    }
}

// The operator removed the last account: nobody may run on its key.
TEST(account_check, an_empty_table_of_accounts_admits_no_key)
{
    auto const decision = check_account(configuration_with({}),
                                        key("key-1"),
                                        false,
                                        seconds(0),
                                        account_check_bounds());
    EXPECT_EQ(decision.verdict, account_verdict::unauthorized);
}

// Load: a key is withdrawn while a node is cut off or paused.
TEST(account_check, strict_bounds_refuse_all_keys_on_old_knowledge)
{
    auto const configuration = configuration_with({account("a", {"key-1"})});
    account_check_bounds bounds;
    bounds.revocation_age = milliseconds(4700);
    auto const check = [&configuration, &bounds](duration age)
    {
        return check_account(configuration, key("key-1"), true, age, bounds);
    };
    EXPECT_EQ(check(milliseconds(4700)).verdict, account_verdict::admitted);
    EXPECT_EQ(check(milliseconds(4701)).verdict, account_verdict::unavailable);
    EXPECT_EQ(check(milliseconds(4701)).cause,
              account_cause::revocation_unknown);
}

// Load: requests wait at a target, or come from a node that is cut off, while
// their key is withdrawn or given to another account.
TEST(account_check, admitted_request_does_not_start_on_a_withdrawn_key)
{
    account_check_bounds const lenient;
    account_check_bounds strict;
    strict.revocation_age = seconds(4);
    auto const check = [](std::vector<client_account> accounts,
                          std::uint64_t version,
                          std::uint64_t admitted_version,
                          std::optional<duration> age,
                          account_check_bounds const & bounds)
    {
        auto configuration = configuration_with(std::move(accounts));
        configuration.version = version;
        return check_admitted_account(configuration,
                                      account_name("a"),
                                      digest_of_key("key-1"),
                                      admitted_version,
                                      age,
                                      bounds)
            .cause;
    };
    std::vector<client_account> const held = {account("a", {"key-1"})};
    std::vector<client_account> const withdrawn = {account("a", {"key-2"})};
    std::vector<client_account> const moved = {account("a", {}),
                                               account("b", {"key-1"})};
    EXPECT_EQ(check(held, 2, 1, std::nullopt, lenient), account_cause::none);
    EXPECT_EQ(check(withdrawn, 2, 1, seconds(1), lenient),
              account_cause::withdrawn_key);
    EXPECT_EQ(check(withdrawn, 2, 2, seconds(1), lenient),
              account_cause::withdrawn_key);
    EXPECT_EQ(check(moved, 2, 1, seconds(1), lenient),
              account_cause::withdrawn_key);
    // a new account reaches the node beside the target later than the sender
    EXPECT_EQ(check(withdrawn, 2, 3, seconds(1), lenient), account_cause::none);
    EXPECT_EQ(check(withdrawn, 2, 3, seconds(1), strict),
              account_cause::withdrawn_key);
    EXPECT_EQ(check(held, 2, 1, seconds(4), strict), account_cause::none);
    EXPECT_EQ(check(held, 2, 1, seconds(5), strict),
              account_cause::revocation_unknown);
    EXPECT_EQ(check(held, 2, 1, std::nullopt, strict),
              account_cause::revocation_unknown);
}

} // namespace
} // namespace endivehinge
