#ifndef ENDIVEHINGE_POLICY_ACCOUNT_DIRECTORY_HPP
#define ENDIVEHINGE_POLICY_ACCOUNT_DIRECTORY_HPP

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/client_account.hpp>

namespace endivehinge
{

/// @brief the digest of a key, the same in every process
/// @note pure; thread safety: any thread
[[nodiscard]] account_key_digest digest_of_key(std::string const & key);

/// @brief a digest of a key for log lines, too short to find the key from
/// @note pure; thread safety: any thread
[[nodiscard]] std::string short_digest(account_key_digest digest);

/// @brief an index of accounts by their keys
///
/// Holds digests and positions instead of the keys or references to them, so
/// that it needs little memory and can be copied together with the accounts.
/// @note thread safety: const member functions may be called from any thread
class account_directory
{
public:
    /// @brief an index without accounts
    account_directory() = default;

    /// @brief indexes all keys; takes time linear in their number
    /// @param reason set to invalid_configuration if a key is empty or belongs
    /// to two accounts; names the accounts, not the key
    [[nodiscard]] static std::optional<account_directory>
    build(std::vector<client_account> const & accounts, failure & reason);

    /// @brief the account that holds a key, in constant time
    /// @param accounts the accounts that were indexed, in the same order
    /// @return null if no account holds it
    [[nodiscard]] client_account const *
    find(std::vector<client_account> const & accounts,
         std::string const & key) const;

    /// @brief the account that holds the key with a digest, in constant time
    /// @param accounts the accounts that were indexed, in the same order
    /// @return null if no account holds it
    [[nodiscard]] client_account const *
    find(std::vector<client_account> const & accounts,
         account_key_digest digest) const;

private:
    struct position
    {
        std::uint32_t account = 0;
        std::uint32_t key = 0;
    };

    absl::flat_hash_map<account_key_digest, position> positions;
};

} // namespace endivehinge

#endif
