#ifndef ENDIVEHINGE_POLICY_ACCOUNT_BACKOFF_HPP
#define ENDIVEHINGE_POLICY_ACCOUNT_BACKOFF_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t
#include <optional> // optional
#include <utility>  // pair

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief limits of an account_backoff
struct account_backoff_options
{
    // refused requests that start a back-off, less their decay; one may have
    // met the only full targets
    double min_refusals = 1.5;
    // and refused requests for each answered one: an account of which most
    // requests are answered loses none at this node
    double min_refusals_per_answer = 1;
    // time after which a refused or answered request counts 1/e
    duration memory = std::chrono::milliseconds(1000);
    // longest back-off; capacity that is free again stays unused by the account
    // at this node for no longer
    duration max_backoff = std::chrono::milliseconds(250);
    // pairs of service and account; bounds memory to about 500 KB
    std::size_t max_entries = 4096;
};

/// @brief refuses requests of accounts above their share where they begin
///
/// Handles an account that floods a service without capacity: each of its
/// requests would be sent to several targets to be refused by each, which takes
/// processor time and bytes from the requests that can be served. After targets
/// of the service refused most requests of the account for lack of capacity
/// since it has used its share, this node refuses it for a fraction of a
/// second. Requests of a higher rank than those refused are let through.
/// @note pure; not thread-safe, the owner serialises all calls
class account_backoff
{
public:
    explicit account_backoff(account_backoff_options chosen = {});

    /// @brief records a request that all its targets refused, at least one of
    /// them because its account had used its share
    /// @param retry_after time until the targets expect to have capacity
    void record_refusal(service_name const & service,
                        account_name const & account,
                        std::uint32_t rank,
                        duration retry_after,
                        time_point now);

    /// @brief records a request of the account that a target answered
    void record_answer(service_name const & service,
                       account_name const & account,
                       time_point now);

    /// @brief time for which a request of the account is refused
    /// @return no value if it may be sent
    [[nodiscard]] std::optional<duration>
    remaining(service_name const & service,
              account_name const & account,
              std::uint32_t rank,
              time_point now) const;

    /// @brief number of pairs of service and account that are kept
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        // highest rank that was refused
        std::uint32_t rank = 0;
        // decayed to updated_at
        double refusals = 0;
        double answers = 0;
        time_point updated_at;
        time_point until;
    };

    using key = std::pair<service_name, account_name>;

    void decay(entry & current, time_point now) const;
    void remove_expired(time_point now);

    account_backoff_options options;
    absl::flat_hash_map<key, entry> entries;
};

} // namespace endivehinge

#endif
