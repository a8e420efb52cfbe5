#include <endivehinge/coordination/record_coverage.hpp>

#include <algorithm> // any_of, find_if, max, remove_if
#include <utility>   // move

namespace endivehinge
{
namespace
{

constexpr std::size_t greatest_gap_count = 256;
constexpr std::size_t greatest_handover_count = 256;
// an earlier owner that lives has sent its records by then
constexpr std::chrono::seconds handover_time(1);

} // namespace

bool record_coverage::gap::covers(idempotency_key const & key) const
{
    return this->owners == nullptr ||
           *owner_of(key, *this->owners) == this->source;
}

record_coverage::record_coverage(owner_identity own, duration valid)
    : self(std::move(own))
    , window(valid)
{
}

void record_coverage::adopt(assignment const & next, bool followed)
{
    gap missing;
    missing.number = next.number;
    if (contains(next.previous, this->self) && !followed)
    {
        // it owned keys in an epoch that it never heard of
        this->gaps.push_back(missing);
        this->join_gaps();
        return;
    }
    if (!contains(next.members, this->self))
    {
        // it owns no key; when it does again, all owners of that time hand over
        this->gaps.clear();
        return;
    }
    missing.owners =
        std::make_shared<std::vector<owner_identity> const>(next.previous);
    for (auto const & source : next.previous)
    {
        if (source != this->self)
        {
            missing.source = source;
            this->gaps.push_back(missing);
        }
    }
    for (auto const & received : this->handovers)
    {
        this->fill(received);
    }
    this->join_gaps();
}

void record_coverage::hold(clock_reading const & at)
{
    for (auto & missing : this->gaps)
    {
        if (!missing.held.has_value())
        {
            missing.held = at.now;
            missing.since = missing.handed_over ? missing.since : at.wall;
        }
    }
}

void record_coverage::hand_over(owner_identity const & source,
                                epoch number,
                                std::optional<wall_time> complete_since)
{
    handover const received{source, number, complete_since};
    auto const same = std::find_if(this->handovers.begin(),
                                   this->handovers.end(),
                                   [&source](handover const & one)
                                   {
                                       return one.source.name == source.name;
                                   });
    if (same != this->handovers.end())
    {
        this->handovers.erase(same);
    }
    if (this->handovers.size() >= greatest_handover_count)
    {
        this->handovers.erase(this->handovers.begin());
    }
    this->handovers.push_back(received);
    this->fill(received);
}

std::optional<wall_time>
record_coverage::complete_since(idempotency_key const & key, time_point now)
{
    this->expire(now);
    std::optional<wall_time> since;
    for (auto const & missing : this->gaps)
    {
        if (missing.covers(key))
        {
            since = since.has_value() ? std::max(*since, missing.since)
                                      : missing.since;
        }
    }
    return since;
}

std::optional<wall_time> record_coverage::complete_since_any_key(time_point now)
{
    this->expire(now);
    std::optional<wall_time> since;
    for (auto const & missing : this->gaps)
    {
        since =
            since.has_value() ? std::max(*since, missing.since) : missing.since;
    }
    return since;
}

bool record_coverage::awaits_records(idempotency_key const & key,
                                     time_point now) const
{
    return std::any_of(this->gaps.begin(),
                       this->gaps.end(),
                       [&key, now](gap const & missing)
                       {
                           bool const is_fresh =
                               !missing.held.has_value() ||
                               now - *missing.held < handover_time;
                           return is_fresh && missing.owners != nullptr &&
                                  !missing.handed_over && missing.covers(key);
                       });
}

void record_coverage::set_window(duration valid)
{
    this->window = valid;
}

void record_coverage::expire(time_point now)
{
    auto const has_passed = [this, now](gap const & missing)
    {
        return missing.held.has_value() && now - *missing.held > this->window;
    };
    this->gaps.erase(
        std::remove_if(this->gaps.begin(), this->gaps.end(), has_passed),
        this->gaps.end());
}

// one gap over every key stands for all of them
void record_coverage::join_gaps()
{
    if (this->gaps.size() <= greatest_gap_count)
    {
        return;
    }
    gap joined = this->gaps.back();
    joined.owners = nullptr;
    for (auto const & missing : this->gaps)
    {
        joined.since = std::max(joined.since, missing.since);
    }
    this->gaps = {joined};
}

void record_coverage::fill(handover const & received)
{
    auto const fits = [&received](gap const & missing)
    {
        return missing.owners != nullptr && missing.number == received.number &&
               missing.source == received.source;
    };
    auto const found = std::find_if(this->gaps.begin(), this->gaps.end(), fits);
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
