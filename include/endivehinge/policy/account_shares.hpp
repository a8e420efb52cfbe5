#ifndef ENDIVEHINGE_POLICY_ACCOUNT_SHARES_HPP
#define ENDIVEHINGE_POLICY_ACCOUNT_SHARES_HPP

#include <cstddef> // size_t

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/weighted_account.hpp>

namespace endivehinge
{

/// @brief limits and weights of account_shares
struct account_share_options
{
    // time after which run time counts 1/e. An account that sends 20 of 800
    // requests a second to 64 targets reaches one target once in 3 s
    duration memory = std::chrono::seconds(3);
    // requests within the memory that are not held against an account. The
    // share of a small account at one target is less than one request
    double free_requests = 1;
    // part of its share above which an account counts as having used it. The
    // mean over all accounts includes those that need less than their share, so
    // that an account that floods the target may be held below the mean
    double used_share = 0.5;
    // accounts with recorded use; bounds memory to about 200 KB
    std::size_t max_accounts = 2048;
};

/// @brief use of one target by each client account over the last seconds
///
/// Handles an account that sends a multiple of its usual load while the target
/// has too little capacity: run time is charged to the account, divided by its
/// weight, and requests run in the order of the resulting virtual start times,
/// as in start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996). In place
/// of a virtual clock that forgets an account when its queue is empty, the
/// charged run time decays over seconds, so that an account that flooded the
/// target a second ago runs after one that did not.
/// @note pure; not thread-safe, the owner serialises all calls
class account_shares
{
public:
    explicit account_shares(account_share_options chosen = {});

    /// @brief charges the expected run time of a request that starts
    /// @pre the account has a name, its weight is above 0
    void record_start(weighted_account const & account,
                      duration estimate,
                      time_point now);

    /// @brief replaces the estimate charged at the start by the run time
    void record_end(account_name const & account,
                    duration estimate,
                    duration run_time,
                    time_point now);

    /// @brief the virtual start time of the account's next request: run time
    /// in seconds per unit of weight, as charged over the last seconds
    /// @param requests_ahead requests of the account that start before it
    /// @return for a request without an account, the mean over all accounts
    [[nodiscard]] double virtual_start(weighted_account const & account,
                                       std::size_t requests_ahead,
                                       time_point now) const;

    /// @brief whether the account used its share of the run time that all
    /// accounts used, except for a tolerance
    [[nodiscard]] bool has_used_share(weighted_account const & account,
                                      time_point now) const;

    /// @brief time until has_used_share() is false if the account starts no
    /// request and the others continue
    [[nodiscard]] duration time_until_share(weighted_account const & account,
                                            time_point now) const;

    /// @brief number of accounts with recorded use
    [[nodiscard]] std::size_t size() const;

private:
    struct account_use
    {
        double weight = 1;
        // in seconds, decayed to updated_at
        double run_time = 0;
        time_point updated_at;
        time_point last_start;
    };

    [[nodiscard]] double decayed(double value, duration age) const;
    /// @brief mean use per unit of weight
    [[nodiscard]] double mean_use(time_point now) const;
    void add(account_use & entry, double seconds, time_point now);
    void remove_idle(time_point now);
    void remove_smallest(time_point now);

    account_share_options options;
    absl::flat_hash_map<account_name, account_use> accounts;
    double total_weight = 0;
    // in seconds, decayed to total_updated_at
    double total_run_time = 0;
    time_point total_updated_at;
    // mean estimate of the requests started, in seconds
    double mean_request = 0;
    time_point last_cleanup;
};

} // namespace endivehinge

#endif
