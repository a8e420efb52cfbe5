#include <endivehinge/policy/account_directory.hpp>

#include <absl/strings/str_cat.h> // Hex, StrCat

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

constexpr char const * build_step = "index the keys of the accounts";
// bits of a digest that are logged: enough to tell the keys of one deployment
// apart, too few to confirm a guessed key
constexpr std::uint32_t logged_digest_bits = 24;

failure invalid_key(client_account const & account, std::string detail)
{
    return {failure_id::invalid_configuration,
            build_step,
            account.name.value(),
            std::move(detail)};
}

} // namespace

account_key_digest digest_of_key(std::string const & key)
{
    return account_key_digest(stable_hash(key));
}

std::string short_digest(account_key_digest digest)
{
    constexpr std::uint64_t mask = (std::uint64_t{1} << logged_digest_bits) - 1;
    return absl::StrCat(absl::Hex(digest.value() & mask, absl::kZeroPad6));
}

std::optional<account_directory>
account_directory::build(std::vector<client_account> const & accounts,
                         failure & reason)
{
    std::size_t key_count = 0;
    for (auto const & account : accounts)
    {
        key_count += account.keys.size();
    }
    account_directory directory;
    directory.positions.reserve(key_count);
    for (std::uint32_t i = 0; i < accounts.size(); ++i)
    {
        auto const & account = accounts[i];
        for (std::uint32_t k = 0; k < account.keys.size(); ++k)
        {
            if (account.keys[k].empty())
            {
                reason = invalid_key(account, "has an empty key");
                return std::nullopt;
            }
            auto const [entry, is_new] = directory.positions.try_emplace(
                digest_of_key(account.keys[k]), position{i, k});
            // a key that one account lists twice is harmless
            if (!is_new && entry->second.account != i)
            {
                reason = invalid_key(
                    account,
                    "shares a key with account " +
                        accounts[entry->second.account].name.value());
                return std::nullopt;
            }
        }
    }
    return directory;
}

client_account const *
account_directory::find(std::vector<client_account> const & accounts,
                        std::string const & key) const
{
    auto const found = this->positions.find(digest_of_key(key));
    if (found == this->positions.end())
    {
        return nullptr;
    }
    auto const & account = accounts[found->second.account];
    // another key may have the same digest
    return account.keys[found->second.key] == key ? &account : nullptr;
}

client_account const *
account_directory::find(std::vector<client_account> const & accounts,
                        account_key_digest digest) const
{
    auto const found = this->positions.find(digest);
    return found == this->positions.end() ? nullptr
                                          : &accounts[found->second.account];
}

} // namespace endivehinge
