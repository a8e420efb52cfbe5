#include <endivehinge/coordination/service_leader.hpp>

#include <algorithm> // all_of, find, max, min, sort
#include <iterator>  // next
#include <utility>   // move

namespace endivehinge
{
service_leader::service_leader(owner_identity own,
                               lease_timing const & durations)
    : self(std::move(own))
    , timing(durations)
{
}

std::optional<store_call> service_leader::next_call(time_point now,
                                                    bool leader_responds)
{
    if (this->active_call != call_kind::none)
    {
        return std::nullopt;
    }
    if (this->must_read)
    {
        return now >= this->read_due ? this->send_read(now) : std::nullopt;
    }
    if (!this->pending.has_value() && this->leads)
    {
        this->plan_write(now);
    }
    if (this->pending.has_value())
    {
        return now >= this->renewal_due ? this->send_write(now) : std::nullopt;
    }
    bool const may_take_over =
        !this->leads && !leader_responds && !this->resigning;
    return may_take_over && now >= this->read_due ? this->send_read(now)
                                                  : std::nullopt;
}

void service_leader::on_read(stored_assignment const & stored, time_point now)
{
    this->active_call = call_kind::none;
    this->must_read = false;
    bool const is_pending = this->pending.has_value() &&
                            stored.value.has_value() &&
                            *stored.value == this->pending->value;
    if (is_pending)
    {
        this->apply_written(*this->pending, stored.version, now);
        return;
    }
    // the pending write may still change an object that is unchanged now
    if (this->pending.has_value() && stored.version == this->pending->expected)
    {
        return;
    }
    this->pending.reset();
    this->apply_stored(stored, now);
}

void service_leader::on_read_failed(time_point)
{
    this->active_call = call_kind::none;
}

void service_leader::on_written(write_result result,
                                object_version written,
                                time_point now)
{
    this->active_call = call_kind::none;
    switch (result)
    {
    case write_result::done:
        this->apply_written(*this->pending, written, now);
        break;
    case write_result::conflict:
        // an earlier attempt of this node may have caused the conflict
        this->must_read = true;
        this->read_due = now;
        break;
    case write_result::unknown:
        // retries the same write; the expected version lets it take effect only
        // once
        this->renewal_due = now + this->timing.platform_read_interval;
        break;
    }
}

lease_grant service_leader::renew(lease_renewal const & renewal, time_point now)
{
    lease_grant grant;
    grant.current = this->current_assignment;
    if (!this->is_leader(now))
    {
        grant.reason = "not the keeper";
        return grant;
    }
    grant.from_leader = true;
    if (renewal.adopted_epoch > this->current_assignment->number)
    {
        grant.reason = "the epoch is newer than the keeper's";
        this->must_read = true;
        return grant;
    }
    member_lease & member = this->member_leases[renewal.node];
    member.last_contact = now;
    member.leaving = member.leaving || renewal.leaving;
    member.adopted_epoch =
        std::max(member.adopted_epoch, renewal.adopted_epoch);
    if (!contains(this->current_assignment->members, renewal.node))
    {
        grant.reason = "not a member yet";
        return grant;
    }
    if (renewal.adopted_epoch < this->current_assignment->number)
    {
        grant.reason = "an older epoch";
        return grant;
    }
    if (std::string const name = this->first_blocking_member(now);
        !name.empty())
    {
        grant.reason = "an earlier lease has not ended: " + name;
        return grant;
    }
    duration const lease_duration =
        std::min(this->timing.owner_lease_duration, this->lease_end - now);
    member.lease_expiry =
        std::max(member.lease_expiry,
                 now + this->timing.extend_for_drift(lease_duration));
    grant.lease_duration = lease_duration;
    return grant;
}

void service_leader::observe(assignment const & current)
{
    if (this->current_assignment.has_value() &&
        current.number <= this->current_assignment->number)
    {
        return;
    }
    if (this->leads || this->names_self(current))
    {
        // reads the platform to verify the reported assignment
        this->must_read = true;
        return;
    }
    this->current_assignment = current;
}

void service_leader::leave()
{
    this->resigning = true;
}

bool service_leader::is_leader(time_point now) const
{
    return this->leads && now < this->lease_end;
}

std::optional<assignment> const & service_leader::current() const
{
    return this->current_assignment;
}

std::optional<store_call> service_leader::send_write(time_point)
{
    this->active_call = call_kind::write;
    return store_call{this->pending->value, this->pending->expected};
}

std::optional<store_call> service_leader::send_read(time_point now)
{
    this->active_call = call_kind::read;
    this->read_due = now + this->read_interval();
    return store_call{std::nullopt, this->version};
}

void service_leader::plan_write(time_point now)
{
    assignment next = *this->current_assignment;
    ++next.renewals;
    auto members = this->plan_members(now);
    // Leases of at most two epochs may be valid at a time, so that the next
    // leader finds all of their owners in the object.
    bool const members_change =
        members != next.members &&
        now - this->epoch_start >= this->timing.min_epoch_duration &&
        this->first_blocking_member(now).empty() && this->is_epoch_adopted(now);
    if (!members_change && now < this->renewal_due)
    {
        return;
    }
    if (members_change)
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
    if (this->current_assignment.has_value())
    {
        next.number = epoch(this->current_assignment->number.value() + 1);
        next.previous = this->current_assignment->members;
    }
    // the other running members renew their leases; the rest are removed later
    for (auto const & member : next.previous)
    {
        if (member != this->current_assignment->leader &&
            member.name != this->self.name)
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
    for (auto const & member : this->current_assignment->members)
    {
        if (this->remains_member(member, now))
        {
            members.push_back(member);
        }
    }
    for (auto const & [node, state] : this->member_leases)
    {
        if (!contains_name(members, node.name) &&
            this->remains_member(node, now))
        {
            members.push_back(node);
        }
    }
    std::sort(members.begin(), members.end());
    // the last member leaves without a write
    return members.empty() ? this->current_assignment->members : members;
}

bool service_leader::remains_member(owner_identity const & member,
                                    time_point now) const
{
    if (member == this->self)
    {
        return !this->resigning;
    }
    auto const found = this->member_leases.find(member);
    if (found == this->member_leases.end())
    {
        return false;
    }
    member_lease const & state = found->second;
    duration const silence_limit =
        this->timing.extend_for_drift(this->timing.owner_lease_duration);
    bool const is_silent = now - state.last_contact >= silence_limit;
    bool const has_lease = now < state.lease_expiry;
    return !state.leaving && (has_lease || !is_silent);
}

void service_leader::apply_written(write const & confirmed,
                                   object_version written,
                                   time_point now)
{
    bool const was_leader = this->leads;
    bool const is_new_epoch =
        !this->current_assignment.has_value() ||
        this->current_assignment->number < confirmed.value.number;
    bool const takes_over = !was_leader && is_new_epoch;
    assignment const value = confirmed.value;
    time_point const first_sent = confirmed.first_sent;
    this->current_assignment = value;
    this->version = written;
    this->version_first_seen = now;
    this->pending.reset();
    this->leads = this->names_self(value);
    this->lease_end = first_sent + this->timing.shorten_for_drift(
                                       this->timing.leader_lease_duration);
    this->renewal_due = first_sent + this->timing.leader_renewal_interval;
    if (is_new_epoch)
    {
        this->epoch_start = now;
    }
    if (takes_over)
    {
        // all earlier leases have expired with that of the previous leader
        this->member_leases.clear();
    }
    if (!was_leader && !takes_over)
    {
        this->assume_earlier_leases(now);
    }
    for (auto const & member : value.members)
    {
        this->member_leases.try_emplace(
            member, member_lease{{}, time_point::min(), now});
    }
    if (is_new_epoch)
    {
        this->remove_absent(now);
    }
}

void service_leader::apply_stored(stored_assignment const & stored,
                                  time_point now)
{
    bool const is_first = !this->version_first_seen.has_value();
    if (is_first || stored.version != this->version)
    {
        this->version = stored.version;
        this->version_first_seen = now;
        // removing the object does not reset its epochs
        this->current_assignment =
            stored.value.has_value() ? stored.value : this->current_assignment;
        // another node may have led in between
        this->leads = false;
    }
    if (this->leads)
    {
        return;
    }
    bool const is_appointed = this->current_assignment.has_value() &&
                              this->names_self(*this->current_assignment);
    bool const has_expired =
        now - *this->version_first_seen >=
        this->timing.extend_for_drift(this->timing.leader_lease_duration);
    if (is_appointed)
    {
        assignment next = *this->current_assignment;
        ++next.renewals;
        this->pending = write{std::move(next), this->version, now};
    }
    else if (!this->current_assignment.has_value() || has_expired)
    {
        this->pending = write{this->plan_takeover(), this->version, now};
    }
    this->renewal_due = now;
}

// A leader whose predecessor was another node does not know which leases were
// granted.
void service_leader::assume_earlier_leases(time_point now)
{
    time_point const lease_expiry =
        now + this->timing.extend_for_drift(this->timing.owner_lease_duration);
    this->member_leases.clear();
    for (auto const & member : this->current_assignment->previous)
    {
        this->member_leases.emplace(member,
                                    member_lease{{}, lease_expiry, now});
    }
    for (auto const & member : this->current_assignment->members)
    {
        this->member_leases.emplace(member,
                                    member_lease{{}, lease_expiry, now});
    }
}

void service_leader::remove_absent(time_point now)
{
    for (auto entry = this->member_leases.begin();
         entry != this->member_leases.end();)
    {
        bool const is_member =
            contains(this->current_assignment->members, entry->first);
        bool const is_needed = is_member || now < entry->second.lease_expiry ||
                               this->remains_member(entry->first, now);
        entry = is_needed ? std::next(entry) : this->member_leases.erase(entry);
    }
}

// Only a few members read the platform often while the leader does not respond;
// the others read it less often.
duration service_leader::read_interval() const
{
    constexpr std::ptrdiff_t frequent_reader_count = 3;
    constexpr int infrequent_factor = 5;
    if (!this->current_assignment.has_value())
    {
        return this->timing.platform_read_interval;
    }
    auto const & members = this->current_assignment->members;
    auto const position = std::find(members.begin(), members.end(), this->self);
    bool const reads_frequently =
        position - members.begin() < frequent_reader_count;
    return reads_frequently
               ? this->timing.platform_read_interval
               : this->timing.platform_read_interval * infrequent_factor;
}

bool service_leader::is_epoch_adopted(time_point now) const
{
    duration const silence_limit =
        this->timing.extend_for_drift(this->timing.owner_lease_duration);
    return std::all_of(this->current_assignment->members.begin(),
                       this->current_assignment->members.end(),
                       [this, now, silence_limit](owner_identity const & member)
                       {
                           auto const found = this->member_leases.find(member);
                           return found == this->member_leases.end() ||
                                  found->second.adopted_epoch ==
                                      this->current_assignment->number ||
                                  now - found->second.last_contact >=
                                      silence_limit;
                       });
}

bool service_leader::names_self(assignment const & value) const
{
    return value.leader == this->self;
}

std::string service_leader::first_blocking_member(time_point now) const
{
    for (auto const & [node, state] : this->member_leases)
    {
        if (state.adopted_epoch < this->current_assignment->number &&
            now < state.lease_expiry)
        {
            return node.name.value();
        }
    }
    return {};
}

} // namespace endivehinge
