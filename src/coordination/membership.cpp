#include <endivehinge/coordination/membership.hpp>

#include <utility> // exchange, move

#include <absl/random/distributions.h> // Uniform

namespace endivehinge
{
namespace
{

constexpr duration cleanup_interval = std::chrono::minutes(1);

bool equal_attributes(member const & a, member const & b)
{
    return a.service == b.service && a.domain == b.domain &&
           a.region == b.region && a.peer_address == b.peer_address &&
           a.control_address == b.control_address && a.slots == b.slots &&
           a.accepts_work == b.accepts_work;
}

} // namespace

membership::membership(member self, membership_options initial_options)
    : own_update{std::make_shared<member const>(std::move(self)),
                 member_state::alive}
    , options(initial_options)
    , table(initial_options.max_members)
    , pending_updates(initial_options.update_queue_capacity)
    , gossip_budget(initial_options.gossip_bytes_per_second,
                    initial_options.gossip_burst_bytes)
    , sync_budget(initial_options.sync_bytes_per_second,
                  initial_options.sync_burst_bytes)
{
}

void membership::join(std::vector<endpoint> const & contact_addresses,
                      time_point now,
                      absl::BitGenRef)
{
    this->contacts.clear();
    for (auto const & contact : contact_addresses)
    {
        if (contact != this->own_update.record->control_address)
        {
            this->contacts.push_back(contact);
        }
    }
    if (!this->contacts.empty() && this->table.active_count() == 0)
    {
        this->joining = true;
        this->next_sync = now;
    }
}

void membership::leave(time_point, absl::BitGenRef random)
{
    this->leaving = true;
    this->own_update.state = member_state::left;
    this->announce_to_random_members(random);
}

void membership::update_self(member const & latest)
{
    if (this->leaving || equal_attributes(latest, *this->own_update.record))
    {
        return;
    }
    member updated = latest;
    updated.name = this->own_update.record->name;
    updated.incarnation_number = this->own_update.record->incarnation_number;
    updated.sequence = this->own_update.record->sequence + 1;
    this->own_update.record =
        std::make_shared<member const>(std::move(updated));
    this->pending_updates.push(this->own_update);
}

void membership::set_configuration_version(object_version version,
                                           time_point,
                                           absl::BitGenRef random)
{
    if (version <= this->configuration)
    {
        return;
    }
    this->configuration = version;
    if (!this->leaving)
    {
        this->announce_to_random_members(random);
    }
}

void membership::tick(time_point now, absl::BitGenRef random)
{
    if (!this->last_tick.has_value())
    {
        // a random phase, so that nodes started together do not probe in
        // lockstep
        double const phase = absl::Uniform(random, 0.0, 1.0);
        this->next_probe = now + std::chrono::duration_cast<duration>(
                                     this->options.probe_period * phase);
        this->next_dead_probe = now + this->options.dead_probe_interval;
        this->next_cleanup = now + cleanup_interval;
        this->last_tick = now;
    }
    duration const pause = now - *this->last_tick;
    this->last_tick = now;
    if (this->leaving)
    {
        return;
    }
    if (pause > this->options.pause_threshold)
    {
        this->resume_after_pause(now, pause);
    }
    this->gossip_budget.refill(now);
    this->sync_budget.refill(now);
    this->expire_probes(now, random);
    this->update_probe_rounds(now, random);
    this->expire_suspicions(now, random);
    this->probe_next_member(now, random);
    this->synchronize(now, random);
    this->probe_dead_member(now, random);
    if (now >= this->next_cleanup)
    {
        this->next_cleanup = now + cleanup_interval;
        this->table.remove_expired_tombstones(
            now, this->options.tombstone_retention);
    }
}

std::vector<outgoing_gossip> membership::take_messages()
{
    return std::exchange(this->outbox, {});
}

std::vector<membership_event> membership::take_events()
{
    return std::exchange(this->events, {});
}

std::vector<member> membership::members() const
{
    std::vector<member> result;
    result.reserve(this->table.active_count() + 1);
    result.push_back(*this->own_update.record);
    result.back().state = this->own_update.state;
    for (member_index i = 0; i < this->table.index_count(); ++i)
    {
        if (member_entry const & entry = this->table.at(i); entry.is_active())
        {
            result.push_back(*entry.record);
            result.back().state = entry.visible_state();
        }
    }
    return result;
}

std::optional<member_state> membership::state_of(node_name const & name) const
{
    if (name == this->own_update.record->name)
    {
        return this->own_update.state;
    }
    auto const index = this->table.find(name);
    if (!index.has_value())
    {
        return std::nullopt;
    }
    return this->table.at(*index).visible_state();
}

member const & membership::self() const
{
    return *this->own_update.record;
}

std::size_t membership::size() const
{
    return this->table.active_count();
}

bool membership::is_joining() const
{
    return this->joining;
}

} // namespace endivehinge
