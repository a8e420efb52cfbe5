#include <endivehinge/coordination/lease_holder.hpp>

#include <algorithm> // max, min
#include <utility>   // move

namespace endivehinge
{

lease_holder::lease_holder(owner_identity own,
                           lease_timing const & spans,
                           duration window)
    : self(own)
    , timing(spans)
    , covered(std::move(own), window)
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
    epoch const number =
        this->adopted.has_value() ? this->adopted->number : epoch();
    return {this->self, number, this->leaving};
}

void lease_holder::renew_soon(time_point now)
{
    this->renewal_due = std::min(this->renewal_due, now);
}

bool lease_holder::apply_grant(lease_grant const & grant,
                               time_point sent,
                               clock_reading const & at)
{
    bool const is_newer =
        grant.current.has_value() && this->adopt(*grant.current, at.now);
    bool const is_granted = !is_newer && grant.lease_duration.has_value() &&
                            grant.current.has_value() &&
                            this->adopted.has_value() &&
                            grant.current->number == this->adopted->number;
    if (is_granted)
    {
        time_point const end =
            sent + this->timing.shorter(*grant.lease_duration);
        this->granted_until = std::max(this->granted_until.value_or(end), end);
        if (this->lease_end(at.now).has_value())
        {
            this->covered.hold(at);
        }
    }
    return is_newer;
}

bool lease_holder::adopt(assignment const & next, time_point now)
{
    if (this->adopted.has_value() && next.number <= this->adopted->number)
    {
        return false;
    }
    this->has_followed =
        this->adopted.has_value() &&
        this->adopted->number.value() + 1 == next.number.value();
    this->granted_until.reset();
    this->covered.adopt(next, this->has_followed);
    this->adopted = next;
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
        this->adopted->number < this->heard)
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
    auto const * const owner = owner_of(key, this->adopted->members);
    return owner != nullptr && *owner == this->self ? end : std::nullopt;
}

std::optional<assignment> const & lease_holder::current() const
{
    return this->adopted;
}

epoch lease_holder::newest_epoch() const
{
    return this->heard;
}

void lease_holder::observe(epoch number)
{
    this->heard = std::max(this->heard, number);
}

bool lease_holder::followed() const
{
    return this->has_followed;
}

record_coverage & lease_holder::coverage()
{
    return this->covered;
}

} // namespace endivehinge
