#ifndef ENDIVEHINGE_POLICY_ACCOUNT_CHECK_HPP
#define ENDIVEHINGE_POLICY_ACCOUNT_CHECK_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/client_credentials.hpp>
#include <endivehinge/policy/routing_configuration.hpp>

namespace endivehinge
{

/// @brief whether a request may use its account
enum class account_verdict
{
    admitted,
    unauthorized, // no key that a configuration holds
    unavailable,  // this node does not know enough to decide
};

/// @brief why a request is not admitted
enum class account_cause
{
    none,
    no_key,
    ambiguous_key,
    unknown_key,
    // the key, or its account, was withdrawn while the request waited
    withdrawn_key,
    // the configuration has not been confirmed since this process started
    unconfirmed,
    // the key or the route may be newer than this node's knowledge
    stale,
    // the key may have been withdrawn since the last contact to the store
    revocation_unknown,
};

/// @brief the stable name of a cause, as used in metrics and log lines
[[nodiscard]] char const * to_string(account_cause cause);

/// @brief result of check_account()
struct account_decision
{
    account_verdict verdict = account_verdict::admitted;
    account_cause cause = account_cause::none;
    // part of the configuration; null if the request has no account
    client_account const * account = nullptr;
};

/// @brief limits on the age of a node's knowledge of the store
struct account_check_bounds
{
    // with older knowledge, an unknown key may belong to a new account
    duration unknown_key_age = std::chrono::seconds(3);
    // with older knowledge, no key is accepted; empty: no limit
    std::optional<duration> revocation_age;
};

/// @brief decides whether a request runs, and for which account
///
/// Answers a load of valid and invalid keys at a node that may be cut off from
/// the store: such a node must not refuse new accounts for good, and under
/// strict revocation must not run withdrawn keys.
/// @param is_public whether the route needs no key
/// @param knowledge_age time since the configuration was known to be the
/// store's current one; empty if it never was
/// @note pure; thread safety: any thread
[[nodiscard]] account_decision
check_account(routing_configuration const & configuration,
              client_credentials const & credentials,
              bool is_public,
              std::optional<duration> knowledge_age,
              account_check_bounds const & bounds);

/// @brief decides whether a request that another node, or this one, admitted
/// earlier may start at the target
///
/// Answers a load of requests that wait while their keys are withdrawn, and of
/// requests from nodes that are cut off and admit withdrawn keys.
/// @param account of the request
/// @param key of the request
/// @param admitted_version of the configuration in which the key was found. If
/// it is newer than this one, the key may be newer, too
/// @note pure; thread safety: any thread
[[nodiscard]] account_decision
check_admitted_account(routing_configuration const & configuration,
                       account_name const & account,
                       account_key_digest key,
                       std::uint64_t admitted_version,
                       std::optional<duration> knowledge_age,
                       account_check_bounds const & bounds);

} // namespace endivehinge

#endif
