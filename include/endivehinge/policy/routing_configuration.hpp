#ifndef ENDIVEHINGE_POLICY_ROUTING_CONFIGURATION_HPP
#define ENDIVEHINGE_POLICY_ROUTING_CONFIGURATION_HPP

#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <endivehinge/core/failure.hpp>
#include <endivehinge/policy/account_directory.hpp>
#include <endivehinge/policy/client_account.hpp>
#include <endivehinge/policy/client_limits.hpp>
#include <endivehinge/policy/service_properties.hpp>
#include <endivehinge/policy/service_route.hpp>

namespace endivehinge
{

/// @brief one version of the routes and services set by the operators
/// @note thread safety: const member functions may be called from any thread
class routing_configuration
{
public:
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_properties> services;
    client_limits limits;
    // whether requests on non-public routes need the key of an account. If this
    // is set and no account is configured, all of them are refused
    bool requires_accounts = false;
    // sorted by name; set with set_accounts()
    std::vector<client_account> accounts;

    /// @brief sets the accounts and requires them for requests
    /// @param reason set to invalid_configuration if a key is empty or belongs
    /// to two accounts; the accounts are not changed then
    /// @note takes time linear in the number of keys, plus the sorting
    [[nodiscard]] bool set_accounts(std::vector<client_account> new_accounts,
                                    failure & reason);

    /// @brief the account that holds a key, in constant time
    /// @return null if no account holds it
    [[nodiscard]] client_account const *
    find_account_of_key(std::string const & key) const;

    /// @brief the account that holds the key with a digest, in constant time
    /// @return null if no account holds it
    [[nodiscard]] client_account const *
    find_account_of_key(account_key_digest digest) const;

    /// @brief the account with a name
    /// @return null if this version does not contain the account
    [[nodiscard]] client_account const *
    find_account(account_name const & name) const;

    /// @brief finds the route of the host with the longest matching path prefix
    /// @param host without a port
    /// @param path a path, optionally with a query, which is ignored
    /// @return null if no route matches
    [[nodiscard]] service_route const * find_route(std::string_view host,
                                                   std::string_view path) const;

    /// @return null if this version does not contain the service
    [[nodiscard]] service_properties const *
    find_service(service_name const & name) const;

private:
    account_directory directory;
};

} // namespace endivehinge

#endif
