#include <endivehinge/coordination/service_leader.hpp>

#include <algorithm> // all_of, find, max, min, sort
#include <iterator>  // next
#include <utility>   // move

namespace endivehinge
{
service_leader::service_leader(owner_identity own, lease_timing const & spans)
    : self(std::move(own))
    , timing(spans)
{
}

std::optional<store_call> service_leader::next_call(time_point now,
                                                    bool keeper_answers)
{
    if (this->under_way != call::none)
    {
        return std::nullopt;
    }
    if (this->must_read)
    {
        return now >= this->read_due ? this->send_read(now) : std::nullopt;
    }
    if (!this->pending.has_value() && this->keeps)
    {
        this->plan_write(now);
    }
    if (this->pending.has_value())
    {
        return now >= this->renewal_due ? this->send_write(now) : std::nullopt;
    }
    bool const waits = !this->keeps && !keeper_answers && !this->resigning;
    return waits && now >= this->read_due ? this->send_read(now) : std::nullopt;
}

void service_leader::on_read(stored_assignment const & seen, time_point now)
{
    this->under_way = call::none;
    this->must_read = false;
    bool const is_pending = this->pending.has_value() &&
                            seen.value.has_value() &&
                            *seen.value == this->pending->value;
    if (is_pending)
    {
        this->confirm(*this->pending, seen.version, now);
        return;
    }
    // an unchanged object may still be changed by the write that is pending
    if (this->pending.has_value() && seen.version == this->pending->expected)
    {
        return;
    }
    this->pending.reset();
    this->learn(seen, now);
}

void service_leader::on_read_failed(time_point)
{
    this->under_way = call::none;
}

void service_leader::on_written(write_result result,
                                object_version written,
                                time_point now)
{
    this->under_way = call::none;
    switch (result)
    {
    case write_result::done:
        this->confirm(*this->pending, written, now);
        break;
    case write_result::conflict:
        // an own earlier try may be what came first
        this->must_read = true;
        this->read_due = now;
        break;
    case write_result::unknown:
        // the same write again: its version lets it take effect once
        this->renewal_due = now + this->timing.platform_read_interval;
        break;
    }
}

lease_grant service_leader::renew(lease_renewal const & asked, time_point now)
{
    lease_grant answer;
    answer.current = this->known;
    if (!this->is_leader(now))
    {
        answer.reason = "not the keeper";
        return answer;
    }
    answer.from_leader = true;
    if (asked.adopted_epoch > this->known->number)
    {
        answer.reason = "the epoch is newer than the keeper's";
        this->must_read = true;
        return answer;
    }
    holder & asking = this->holders[asked.node];
    asking.heard = now;
    asking.leaving = asking.leaving || asked.leaving;
    asking.adopted_epoch = std::max(asking.adopted_epoch, asked.adopted_epoch);
    if (!contains(this->known->members, asked.node))
    {
        answer.reason = "not a member yet";
        return answer;
    }
    if (asked.adopted_epoch < this->known->number)
    {
        answer.reason = "an older epoch";
        return answer;
    }
    if (std::string const name = this->first_unsettled(now); !name.empty())
    {
        answer.reason = "an earlier lease has not ended: " + name;
        return answer;
    }
    duration const lease_duration =
        std::min(this->timing.owner_lease_duration, this->lease_end - now);
    asking.until =
        std::max(asking.until, now + this->timing.longer(lease_duration));
    answer.lease_duration = lease_duration;
    return answer;
}

void service_leader::observe(assignment const & current)
{
    if (this->known.has_value() && current.number <= this->known->number)
    {
        return;
    }
    if (this->keeps || this->is_own(current))
    {
        // the platform tells whether that is so
        this->must_read = true;
        return;
    }
    this->known = current;
}

void service_leader::leave()
{
    this->resigning = true;
}

bool service_leader::is_leader(time_point now) const
{
    return this->keeps && now < this->lease_end;
}

std::optional<assignment> const & service_leader::current() const
{
    return this->known;
}

std::optional<store_call> service_leader::send_write(time_point)
{
    this->under_way = call::write;
    return store_call{this->pending->value, this->pending->expected};
}

std::optional<store_call> service_leader::send_read(time_point now)
{
    this->under_way = call::read;
    this->read_due = now + this->read_interval();
    return store_call{std::nullopt, this->version};
}

void service_leader::plan_write(time_point now)
{
    assignment next = *this->known;
    ++next.renewals;
    auto members = this->plan_members(now);
    // leases of at most two epochs may hold at a time: a keeper that follows
    // finds all of their owners in the object
    bool const changes =
        members != next.members &&
        now - this->epoch_began >= this->timing.min_epoch_duration &&
        this->first_unsettled(now).empty() && this->is_followed(now);
    if (!changes && now < this->renewal_due)
    {
        return;
    }
    if (changes)
    {
        next.number = epoch(next.number.value() + 1);
        next.previous = std::move(next.members);
        next.members = std::move(members);
        if (!contains(next.members, this->self))
        {
            next.leader = next.members.front();
        }
    }
    this->renewal_due = std::min(this->renewal_due, now);
    this->pending = write{std::move(next), this->version, now};
}

assignment service_leader::plan_takeover() const
{
    assignment next;
    next.number = epoch(1);
    next.leader = this->self;
    if (this->known.has_value())
    {
        next.number = epoch(this->known->number.value() + 1);
        next.previous = this->known->members;
    }
    // the others that live renew their lease, or are taken out later
    for (auto const & member : next.previous)
    {
        if (member != this->known->leader && member.name != this->self.name)
        {
            next.members.push_back(member);
        }
    }
    next.members.push_back(this->self);
    std::sort(next.members.begin(), next.members.end());
    return next;
}

std::vector<owner_identity> service_leader::plan_members(time_point now) const
{
    std::vector<owner_identity> members;
    for (auto const & member : this->known->members)
    {
        if (this->stays(member, now))
        {
            members.push_back(member);
        }
    }
    for (auto const & [node, state] : this->holders)
    {
        if (!contains_name(members, node.name) && this->stays(node, now))
        {
            members.push_back(node);
        }
    }
    std::sort(members.begin(), members.end());
    // the last one goes without a write
    return members.empty() ? this->known->members : members;
}

bool service_leader::stays(owner_identity const & member, time_point now) const
{
    if (member == this->self)
    {
        return !this->resigning;
    }
    auto const found = this->holders.find(member);
    if (found == this->holders.end())
    {
        return false;
    }
    holder const & state = found->second;
    duration const silence =
        this->timing.longer(this->timing.owner_lease_duration);
    bool const is_silent = now - state.heard >= silence;
    bool const holds = now < state.until;
    return !state.leaving && (holds || !is_silent);
}

void service_leader::confirm(write const & done,
                             object_version written,
                             time_point now)
{
    bool const was_keeper = this->keeps;
    bool const is_new_epoch =
        !this->known.has_value() || this->known->number < done.value.number;
    bool const takes_over = !was_keeper && is_new_epoch;
    assignment const value = done.value;
    time_point const sent = done.sent;
    this->known = value;
    this->version = written;
    this->version_seen = now;
    this->pending.reset();
    this->keeps = this->is_own(value);
    this->lease_end =
        sent + this->timing.shorter(this->timing.leader_lease_duration);
    this->renewal_due = sent + this->timing.leader_renewal_interval;
    if (is_new_epoch)
    {
        this->epoch_began = now;
    }
    if (takes_over)
    {
        // every earlier lease has ended with the last keeper's
        this->holders.clear();
    }
    if (!was_keeper && !takes_over)
    {
        this->expect_earlier_leases(now);
    }
    for (auto const & member : value.members)
    {
        this->holders.try_emplace(member, holder{{}, time_point::min(), now});
    }
    if (is_new_epoch)
    {
        this->forget_absent(now);
    }
}

void service_leader::learn(stored_assignment const & seen, time_point now)
{
    bool const is_first = !this->version_seen.has_value();
    if (is_first || seen.version != this->version)
    {
        this->version = seen.version;
        this->version_seen = now;
        // an object that was removed does not take its epochs back
        this->known = seen.value.has_value() ? seen.value : this->known;
        // others may have kept in between
        this->keeps = false;
    }
    if (this->keeps)
    {
        return;
    }
    bool const is_appointed =
        this->known.has_value() && this->is_own(*this->known);
    bool const has_lapsed =
        now - *this->version_seen >=
        this->timing.longer(this->timing.leader_lease_duration);
    if (is_appointed)
    {
        assignment next = *this->known;
        ++next.renewals;
        this->pending = write{std::move(next), this->version, now};
    }
    else if (!this->known.has_value() || has_lapsed)
    {
        this->pending = write{this->plan_takeover(), this->version, now};
    }
    this->renewal_due = now;
}

// a keeper that did not follow itself does not know what was granted
void service_leader::expect_earlier_leases(time_point now)
{
    time_point const until =
        now + this->timing.longer(this->timing.owner_lease_duration);
    this->holders.clear();
    for (auto const & member : this->known->previous)
    {
        this->holders.emplace(member, holder{{}, until, now});
    }
    for (auto const & member : this->known->members)
    {
        this->holders.emplace(member, holder{{}, until, now});
    }
}

void service_leader::forget_absent(time_point now)
{
    for (auto at = this->holders.begin(); at != this->holders.end();)
    {
        bool const is_member = contains(this->known->members, at->first);
        bool const is_needed =
            is_member || now < at->second.until || this->stays(at->first, now);
        at = is_needed ? std::next(at) : this->holders.erase(at);
    }
}

// few ask the platform for a keeper that is gone, the others more rarely
duration service_leader::read_interval() const
{
    constexpr std::ptrdiff_t eager_count = 3;
    constexpr int rarely = 5;
    if (!this->known.has_value())
    {
        return this->timing.platform_read_interval;
    }
    auto const & members = this->known->members;
    auto const place = std::find(members.begin(), members.end(), this->self);
    bool const is_eager = place - members.begin() < eager_count;
    return is_eager ? this->timing.platform_read_interval
                    : this->timing.platform_read_interval * rarely;
}

bool service_leader::is_followed(time_point now) const
{
    duration const silence =
        this->timing.longer(this->timing.owner_lease_duration);
    return std::all_of(this->known->members.begin(),
                       this->known->members.end(),
                       [this, now, silence](owner_identity const & member)
                       {
                           auto const found = this->holders.find(member);
                           return found == this->holders.end() ||
                                  found->second.adopted_epoch ==
                                      this->known->number ||
                                  now - found->second.heard >= silence;
                       });
}

bool service_leader::is_own(assignment const & value) const
{
    return value.leader == this->self;
}

std::string service_leader::first_unsettled(time_point now) const
{
    for (auto const & [node, state] : this->holders)
    {
        if (state.adopted_epoch < this->known->number && now < state.until)
        {
            return node.name.value();
        }
    }
    return {};
}

} // namespace endivehinge
