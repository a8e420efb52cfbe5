#include <endivehinge/policy/account_check.hpp>

namespace endivehinge
{
namespace
{

account_decision refuse(account_verdict verdict, account_cause cause)
{
    return {verdict, cause, nullptr};
}

/// @brief refuses a request without a known key
account_decision refuse_unknown(account_cause cause,
                                std::optional<duration> knowledge_age,
                                account_check_bounds const & bounds)
{
    if (!knowledge_age)
    {
        return refuse(account_verdict::unavailable, account_cause::unconfirmed);
    }
    if (*knowledge_age > bounds.unknown_key_age)
    {
        return refuse(account_verdict::unavailable, account_cause::stale);
    }
    return refuse(account_verdict::unauthorized, cause);
}

/// @brief admits a request whose key is in the configuration, unless that may
/// be too old
account_decision admit_known(client_account const & account,
                             std::optional<duration> knowledge_age,
                             account_check_bounds const & bounds)
{
    if (!knowledge_age)
    {
        return refuse(account_verdict::unavailable, account_cause::unconfirmed);
    }
    if (bounds.revocation_age && *knowledge_age > *bounds.revocation_age)
    {
        return refuse(account_verdict::unavailable,
                      account_cause::revocation_unknown);
    }
    return {account_verdict::admitted, account_cause::none, &account};
}

} // namespace

char const * to_string(account_cause cause)
{
    switch (cause)
    {
    case account_cause::none:
        break;
    case account_cause::no_key:
        return "no_key";
    case account_cause::ambiguous_key:
        return "ambiguous_key";
    case account_cause::unknown_key:
        return "unknown_key";
    case account_cause::withdrawn_key:
        return "withdrawn_key";
    case account_cause::unconfirmed:
        return "unconfirmed";
    case account_cause::stale:
        return "stale";
    case account_cause::revocation_unknown:
        return "revocation_unknown";
    }
    return "none";
}

account_decision check_account(routing_configuration const & configuration,
                               client_credentials const & credentials,
                               bool is_public,
                               std::optional<duration> knowledge_age,
                               account_check_bounds const & bounds)
{
    if (!configuration.requires_accounts)
    {
        return {};
    }
    switch (credentials.kind)
    {
    case credentials_kind::absent:
        return is_public ? account_decision{}
                         : refuse_unknown(
                               account_cause::no_key, knowledge_age, bounds);
    case credentials_kind::ambiguous:
        // no configuration holds such a key
        return refuse(account_verdict::unauthorized,
                      account_cause::ambiguous_key);
    case credentials_kind::key:
        break;
    }
    auto const * const account =
        configuration.find_account_of_key(credentials.key);
    return account != nullptr ? admit_known(*account, knowledge_age, bounds)
                              : refuse_unknown(account_cause::unknown_key,
                                               knowledge_age,
                                               bounds);
}

account_decision
check_admitted_account(routing_configuration const & configuration,
                       account_name const & account,
                       account_key_digest key,
                       std::uint64_t admitted_version,
                       std::optional<duration> knowledge_age,
                       account_check_bounds const & bounds)
{
    if (!configuration.requires_accounts)
    {
        return {};
    }
    if (bounds.revocation_age &&
        (!knowledge_age || *knowledge_age > *bounds.revocation_age))
    {
        return refuse(account_verdict::unavailable,
                      account_cause::revocation_unknown);
    }
    auto const * const holder = configuration.find_account_of_key(key);
    if (holder != nullptr && holder->name == account)
    {
        return {account_verdict::admitted, account_cause::none, holder};
    }
    if (!bounds.revocation_age && configuration.version < admitted_version)
    {
        return {};
    }
    return refuse(account_verdict::unavailable, account_cause::withdrawn_key);
}

} // namespace endivehinge
