#include <endivehinge/policy/account_shares.hpp>

#include <algorithm> // max, min_element
#include <cmath>     // exp, log

namespace endivehinge
{
namespace
{

// weight of the newest request in the mean of the estimates
constexpr double newest_request_weight = 0.05;
// an account without a start for this many times the memory is removed; its
// use counts less than 2 % by then
constexpr double max_idle_memories = 4;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

account_shares::account_shares(account_share_options chosen)
    : options(chosen)
{
}

void account_shares::record_start(weighted_account const & account,
                                  duration estimate,
                                  time_point now)
{
    this->remove_idle(now);
    if (this->accounts.size() >= this->options.max_accounts &&
        !this->accounts.contains(account.name))
    {
        this->remove_smallest(now);
    }
    auto & entry =
        this->accounts.try_emplace(account.name, account_use{0, 0, now, now})
            .first->second;
    this->total_weight += account.weight - entry.weight;
    entry.weight = account.weight;
    entry.last_start = now;
    double const seconds = to_seconds(estimate);
    this->mean_request += (this->mean_request > 0 ? newest_request_weight : 1) *
                          (seconds - this->mean_request);
    this->add(entry, seconds, now);
}

void account_shares::record_end(account_name const & account,
                                duration estimate,
                                duration run_time,
                                time_point now)
{
    if (auto const found = this->accounts.find(account);
        found != this->accounts.end())
    {
        this->add(found->second, to_seconds(run_time - estimate), now);
    }
}

double account_shares::virtual_start(weighted_account const & account,
                                     std::size_t requests_ahead,
                                     time_point now) const
{
    if (account.name.value().empty())
    {
        return this->mean_use(now);
    }
    auto const found = this->accounts.find(account.name);
    double const used = found == this->accounts.end()
                            ? 0
                            : this->decayed(found->second.run_time,
                                            now - found->second.updated_at);
    double const charged_requests =
        static_cast<double>(requests_ahead) - this->options.free_requests;
    return std::max(used + charged_requests * this->mean_request, 0.0) /
           account.weight;
}

bool account_shares::has_used_share(weighted_account const & account,
                                    time_point now) const
{
    return !account.name.value().empty() &&
           this->virtual_start(account, 0, now) >
               this->options.used_share * this->mean_use(now);
}

duration account_shares::time_until_share(weighted_account const & account,
                                          time_point now) const
{
    if (!this->has_used_share(account, now))
    {
        return duration(0);
    }
    double const mean = this->options.used_share * this->mean_use(now);
    double const start = this->virtual_start(account, 0, now);
    // the use of the others stays the same, since they continue
    double const memories =
        mean > 0 ? std::min(std::log(start / mean), max_idle_memories)
                 : max_idle_memories;
    return std::chrono::duration_cast<duration>(this->options.memory *
                                                memories);
}

std::size_t account_shares::size() const
{
    return this->accounts.size();
}

double account_shares::decayed(double value, duration age) const
{
    return value *
           std::exp(-to_seconds(age) / to_seconds(this->options.memory));
}

double account_shares::mean_use(time_point now) const
{
    return this->total_weight > 0
               ? this->decayed(this->total_run_time,
                               now - this->total_updated_at) /
                     this->total_weight
               : 0;
}

void account_shares::add(account_use & entry, double seconds, time_point now)
{
    double const before = this->decayed(entry.run_time, now - entry.updated_at);
    entry.run_time = std::max(before + seconds, 0.0);
    entry.updated_at = now;
    this->total_run_time = std::max(
        this->decayed(this->total_run_time, now - this->total_updated_at) +
            entry.run_time - before,
        0.0);
    this->total_updated_at = now;
}

void account_shares::remove_idle(time_point now)
{
    if (now - this->last_cleanup < this->options.memory)
    {
        return;
    }
    this->last_cleanup = now;
    this->total_weight = 0;
    for (auto entry = this->accounts.begin(); entry != this->accounts.end();)
    {
        if (now - entry->second.last_start >
            this->options.memory * max_idle_memories)
        {
            this->accounts.erase(entry++);
            continue;
        }
        this->total_weight += entry->second.weight;
        ++entry;
    }
}

void account_shares::remove_smallest(time_point now)
{
    auto const smallest = std::min_element(
        this->accounts.begin(),
        this->accounts.end(),
        [this, now](auto const & a, auto const & b)
        {
            return this->decayed(a.second.run_time, now - a.second.updated_at) <
                   this->decayed(b.second.run_time, now - b.second.updated_at);
        });
    this->total_weight -= smallest->second.weight;
    this->accounts.erase(smallest);
}

} // namespace endivehinge
