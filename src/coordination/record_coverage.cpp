#include <endivehinge/coordination/record_coverage.hpp>

#include <algorithm> // any_of, find_if, max, remove_if
#include <utility>   // move

namespace endivehinge
{
namespace
{

constexpr std::size_t max_gaps = 256;
constexpr std::size_t max_handovers = 256;
// a running earlier owner has sent its records within this time
constexpr std::chrono::seconds handover_timeout(1);

} // namespace

bool record_coverage::gap::covers(idempotency_key const & key) const
{
    return this->owners == nullptr ||
           *owner_of(key, *this->owners) == this->source;
}

record_coverage::record_coverage(owner_identity own, duration validity_window)
    : self(std::move(own))
    , window(validity_window)
{
}

void record_coverage::adopt(assignment const & next,
                            bool adopted_previous_epoch)
{
    gap open_gap;
    open_gap.number = next.number;
    if (contains(next.previous, this->self) && !adopted_previous_epoch)
    {
        // this node owned keys in an epoch that it did not learn of
        this->gaps.push_back(open_gap);
        this->merge_gaps();
        return;
    }
    if (!contains(next.members, this->self))
    {
        // this node owns no key; once it does again, all owners of the
        // preceding epoch hand over their records
        this->gaps.clear();
        return;
    }
    open_gap.owners =
        std::make_shared<std::vector<owner_identity> const>(next.previous);
    for (auto const & source : next.previous)
    {
        if (source != this->self)
        {
            open_gap.source = source;
            this->gaps.push_back(open_gap);
        }
    }
    for (auto const & received : this->handovers)
    {
        this->apply_handover(received);
    }
    this->merge_gaps();
}

void record_coverage::on_lease_granted(clock_reading const & reading)
{
    for (auto & open_gap : this->gaps)
    {
        if (!open_gap.lease_start.has_value())
        {
            open_gap.lease_start = reading.now;
            open_gap.since =
                open_gap.handed_over ? open_gap.since : reading.wall;
        }
    }
}

void record_coverage::on_handover(owner_identity const & source,
                                  epoch number,
                                  std::optional<wall_time> complete_since)
{
    handover const received{source, number, complete_since};
    auto const previous =
        std::find_if(this->handovers.begin(),
                     this->handovers.end(),
                     [&source](handover const & existing)
                     {
                         return existing.source.name == source.name;
                     });
    if (previous != this->handovers.end())
    {
        this->handovers.erase(previous);
    }
    if (this->handovers.size() >= max_handovers)
    {
        this->handovers.erase(this->handovers.begin());
    }
    this->handovers.push_back(received);
    this->apply_handover(received);
}

std::optional<wall_time>
record_coverage::complete_since(idempotency_key const & key, time_point now)
{
    this->expire(now);
    std::optional<wall_time> since;
    for (auto const & open_gap : this->gaps)
    {
        if (open_gap.covers(key))
        {
            since = since.has_value() ? std::max(*since, open_gap.since)
                                      : open_gap.since;
        }
    }
    return since;
}

std::optional<wall_time> record_coverage::complete_since_any_key(time_point now)
{
    this->expire(now);
    std::optional<wall_time> since;
    for (auto const & open_gap : this->gaps)
    {
        since = since.has_value() ? std::max(*since, open_gap.since)
                                  : open_gap.since;
    }
    return since;
}

bool record_coverage::awaits_records(idempotency_key const & key,
                                     time_point now) const
{
    return std::any_of(this->gaps.begin(),
                       this->gaps.end(),
                       [&key, now](gap const & open_gap)
                       {
                           bool const is_recent =
                               !open_gap.lease_start.has_value() ||
                               now - *open_gap.lease_start < handover_timeout;
                           return is_recent && open_gap.owners != nullptr &&
                                  !open_gap.handed_over && open_gap.covers(key);
                       });
}

void record_coverage::set_window(duration validity_window)
{
    this->window = validity_window;
}

void record_coverage::expire(time_point now)
{
    auto const is_expired = [this, now](gap const & open_gap)
    {
        return open_gap.lease_start.has_value() &&
               now - *open_gap.lease_start > this->window;
    };
    this->gaps.erase(
        std::remove_if(this->gaps.begin(), this->gaps.end(), is_expired),
        this->gaps.end());
}

// Beyond the limit, replaces all gaps by one that covers every key.
void record_coverage::merge_gaps()
{
    if (this->gaps.size() <= max_gaps)
    {
        return;
    }
    gap merged = this->gaps.back();
    merged.owners = nullptr;
    for (auto const & open_gap : this->gaps)
    {
        merged.since = std::max(merged.since, open_gap.since);
    }
    this->gaps = {merged};
}

void record_coverage::apply_handover(handover const & received)
{
    auto const matches = [&received](gap const & open_gap)
    {
        return open_gap.owners != nullptr &&
               open_gap.number == received.number &&
               open_gap.source == received.source;
    };
    auto const found =
        std::find_if(this->gaps.begin(), this->gaps.end(), matches);
    if (found == this->gaps.end())
    {
        return;
    }
    if (!received.complete_since.has_value())
    {
        this->gaps.erase(found);
        return;
    }
    found->since = *received.complete_since;
    found->handed_over = true;
}

} // namespace endivehinge
