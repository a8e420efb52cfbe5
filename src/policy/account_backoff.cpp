#include <endivehinge/policy/account_backoff.hpp>

#include <algorithm> // max, min
#include <cmath>     // exp

namespace endivehinge
{
namespace
{

// fewer refusals, after their decay, count as none
constexpr double min_counted_refusals = 0.1;

} // namespace

account_backoff::account_backoff(account_backoff_options chosen)
    : options(chosen)
{
}

void account_backoff::record_refusal(service_name const & service,
                                     account_name const & account,
                                     std::uint32_t rank,
                                     duration retry_after,
                                     time_point now)
{
    key const id(service, account);
    if (this->entries.size() >= this->options.max_entries &&
        !this->entries.contains(id))
    {
        this->remove_expired(now);
        if (this->entries.size() >= this->options.max_entries)
        {
            // without a back-off the targets refuse the account themselves
            return;
        }
    }
    auto & current = this->entries[id];
    this->decay(current, now);
    bool const is_new = current.refusals < min_counted_refusals;
    current.rank = is_new ? rank : std::min(current.rank, rank);
    current.refusals += 1;
    if (current.refusals >= this->options.min_refusals &&
        current.refusals >
            this->options.min_refusals_per_answer * current.answers)
    {
        current.until =
            std::max(current.until,
                     now + std::min(retry_after, this->options.max_backoff));
    }
}

void account_backoff::record_answer(service_name const & service,
                                    account_name const & account,
                                    time_point now)
{
    // without refusals there is nothing to compare the answers with
    if (auto const found = this->entries.find(key(service, account));
        found != this->entries.end())
    {
        this->decay(found->second, now);
        found->second.answers += 1;
    }
}

std::optional<duration> account_backoff::remaining(service_name const & service,
                                                   account_name const & account,
                                                   std::uint32_t rank,
                                                   time_point now) const
{
    auto const found = this->entries.find(key(service, account));
    if (found == this->entries.end() || found->second.until <= now ||
        rank < found->second.rank)
    {
        return std::nullopt;
    }
    return found->second.until - now;
}

std::size_t account_backoff::size() const
{
    return this->entries.size();
}

void account_backoff::decay(entry & current, time_point now) const
{
    std::chrono::duration<double> const age = now - current.updated_at;
    std::chrono::duration<double> const memory = this->options.memory;
    double const factor = std::exp(-age / memory);
    current.refusals *= factor;
    current.answers *= factor;
    current.updated_at = now;
}

void account_backoff::remove_expired(time_point now)
{
    for (auto current = this->entries.begin(); current != this->entries.end();)
    {
        this->decay(current->second, now);
        bool const is_expired =
            current->second.refusals < min_counted_refusals &&
            current->second.until <= now;
        if (is_expired)
        {
            this->entries.erase(current++);
            continue;
        }
        ++current;
    }
}

} // namespace endivehinge
