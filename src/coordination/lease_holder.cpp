#include <endivehinge/coordination/lease_holder.hpp>

#include <algorithm> // max, min
#include <utility>   // move

namespace endivehinge
{

lease_holder::lease_holder(owner_identity own,
                           lease_timing const & durations,
                           duration window)
    : self(own)
    , timing(durations)
    , key_coverage(std::move(own), window)
{
}

time_point lease_holder::next_renewal() const
{
    return this->renewal_due;
}

lease_renewal lease_holder::make_renewal(time_point now)
{
    bool const has_lease = this->lease_end(now).has_value();
    this->renewal_due =
        now + (has_lease ? this->timing.heartbeat_interval
                         : this->timing.lease_acquisition_interval);
    epoch const number = this->adopted_assignment.has_value()
                             ? this->adopted_assignment->number
                             : epoch();
    return {this->self, number, this->leaving};
}

void lease_holder::renew_soon(time_point now)
{
    this->renewal_due = std::min(this->renewal_due, now);
}

bool lease_holder::apply_grant(lease_grant const & grant,
                               time_point sent,
                               clock_reading const & reading)
{
    bool const is_newer =
        grant.current.has_value() && this->adopt(*grant.current, reading.now);
    bool const is_granted =
        !is_newer && grant.lease_duration.has_value() &&
        grant.current.has_value() && this->adopted_assignment.has_value() &&
        grant.current->number == this->adopted_assignment->number;
    if (is_granted)
    {
        time_point const end =
            sent + this->timing.shorten_for_drift(*grant.lease_duration);
        this->granted_until = std::max(this->granted_until.value_or(end), end);
        if (this->lease_end(reading.now).has_value())
        {
            this->key_coverage.on_lease_granted(reading);
        }
    }
    return is_newer;
}

bool lease_holder::adopt(assignment const & next, time_point now)
{
    if (this->adopted_assignment.has_value() &&
        next.number <= this->adopted_assignment->number)
    {
        return false;
    }
    this->adopted_previous =
        this->adopted_assignment.has_value() &&
        this->adopted_assignment->number.value() + 1 == next.number.value();
    this->granted_until.reset();
    this->key_coverage.adopt(next, this->adopted_previous);
    this->adopted_assignment = next;
    this->observe(next.number);
    this->renew_soon(now);
    return true;
}

void lease_holder::leave(time_point now)
{
    this->leaving = true;
    this->renew_soon(now);
}

std::optional<time_point> lease_holder::lease_end(time_point now) const
{
    if (!this->granted_until.has_value() || now >= *this->granted_until ||
        this->adopted_assignment->number < this->observed_epoch)
    {
        return std::nullopt;
    }
    return this->granted_until;
}

std::optional<time_point> lease_holder::lease_end(idempotency_key const & key,
                                                  time_point now) const
{
    auto const end = this->lease_end(now);
    if (!end.has_value())
    {
        return std::nullopt;
    }
    auto const * const owner = owner_of(key, this->adopted_assignment->members);
    return owner != nullptr && *owner == this->self ? end : std::nullopt;
}

std::optional<assignment> const & lease_holder::current() const
{
    return this->adopted_assignment;
}

epoch lease_holder::newest_epoch() const
{
    return this->observed_epoch;
}

void lease_holder::observe(epoch number)
{
    this->observed_epoch = std::max(this->observed_epoch, number);
}

bool lease_holder::adopted_previous_epoch() const
{
    return this->adopted_previous;
}

record_coverage & lease_holder::coverage()
{
    return this->key_coverage;
}

} // namespace endivehinge
