#include <endivehinge/coordination/membership.hpp>

#include <utility> // exchange, move

#include <absl/random/distributions.h> // Uniform

namespace endivehinge
{
namespace
{

constexpr duration cleanup_interval = std::chrono::minutes(1);

bool says_the_same(member const & a, member const & b)
{
    return a.service == b.service && a.domain == b.domain &&
           a.region == b.region && a.peer_address == b.peer_address &&
           a.control_address == b.control_address && a.slots == b.slots &&
           a.accepts_work == b.accepts_work;
}

} // namespace

membership::membership(member self, membership_options chosen)
    : own{std::make_shared<member const>(std::move(self)), member_state::alive}
    , options(chosen)
    , table(chosen.max_members)
    , news(chosen.update_queue_capacity)
    , gossip_budget(chosen.gossip_bytes_per_second, chosen.gossip_burst_bytes)
    , sync_budget(chosen.sync_bytes_per_second, chosen.sync_burst_bytes)
{
}

void membership::join(std::vector<endpoint> const & known,
                      time_point now,
                      absl::BitGenRef)
{
    this->contacts.clear();
    for (auto const & contact : known)
    {
        if (contact != this->own.record->control_address)
        {
            this->contacts.push_back(contact);
        }
    }
    if (!this->contacts.empty() && this->table.present() == 0)
    {
        this->joining = true;
        this->next_sync = now;
    }
}

void membership::leave(time_point, absl::BitGenRef random)
{
    this->leaving = true;
    this->own.state = member_state::left;
    this->announce_to_some(random);
}

void membership::update_self(member const & latest)
{
    if (this->leaving || says_the_same(latest, *this->own.record))
    {
        return;
    }
    member next = latest;
    next.name = this->own.record->name;
    next.incarnation_number = this->own.record->incarnation_number;
    next.sequence = this->own.record->sequence + 1;
    this->own.record = std::make_shared<member const>(std::move(next));
    this->news.push(this->own);
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
        this->announce_to_some(random);
    }
}

void membership::tick(time_point now, absl::BitGenRef random)
{
    if (!this->last_tick.has_value())
    {
        // so that nodes started together do not act together
        double const phase = absl::Uniform(random, 0.0, 1.0);
        this->next_probe = now + std::chrono::duration_cast<duration>(
                                     this->options.probe_period * phase);
        this->next_recall = now + this->options.gone_probe_interval;
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
        this->wake_from_pause(now, pause);
    }
    this->gossip_budget.refill(now);
    this->sync_budget.refill(now);
    this->check_probes(now, random);
    this->check_domains(now, random);
    this->check_suspicions(now, random);
    this->probe_next(now, random);
    this->synchronize(now, random);
    this->recall_gone(now, random);
    if (now >= this->next_cleanup)
    {
        this->next_cleanup = now + cleanup_interval;
        this->table.forget_gone(now, this->options.gone_retention);
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
    std::vector<member> found;
    found.reserve(this->table.present() + 1);
    found.push_back(*this->own.record);
    found.back().state = this->own.state;
    for (member_index i = 0; i < this->table.places(); ++i)
    {
        if (member_entry const & entry = this->table.at(i); entry.present())
        {
            found.push_back(*entry.record);
            found.back().state = entry.visible_state();
        }
    }
    return found;
}

std::optional<member_state> membership::state_of(node_name const & name) const
{
    if (name == this->own.record->name)
    {
        return this->own.state;
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
    return *this->own.record;
}

std::size_t membership::size() const
{
    return this->table.present();
}

bool membership::is_joining() const
{
    return this->joining;
}

} // namespace endivehinge
