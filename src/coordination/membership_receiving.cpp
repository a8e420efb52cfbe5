#include <algorithm> // find_if
#include <utility>   // move

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

// Limits the pings in progress on behalf of other members, which request no
// more than this within one probe timeout.
constexpr std::size_t max_relays = 64;

} // namespace

void membership::receive(gossip_message const & message,
                         endpoint const & from,
                         time_point now,
                         absl::BitGenRef random)
{
    if (this->leaving || message.sender.record == nullptr ||
        message.sender.record->name == this->own_update.record->name)
    {
        return;
    }
    this->process_sender(message, now);
    switch (message.kind)
    {
    case gossip_kind::ping:
        this->apply_updates(message, now, true);
        this->on_ping(message, from);
        break;
    case gossip_kind::acknowledgement:
        this->apply_updates(message, now, true);
        this->on_acknowledgement(message);
        break;
    case gossip_kind::indirect_ping:
        this->apply_updates(message, now, true);
        this->on_indirect_ping(message, from, now);
        break;
    case gossip_kind::announcement:
        this->apply_updates(message, now, true);
        break;
    case gossip_kind::sync_request:
    case gossip_kind::sync_reverse_request:
        this->on_sync_request(message, from, random);
        break;
    case gossip_kind::sync_response:
        this->on_sync_response(message, now);
        break;
    case gossip_kind::sync_confirmation:
        this->joining = false;
        break;
    }
}

bool membership::apply(member_update const & update,
                       time_point now,
                       bool forward)
{
    if (update.record == nullptr || update.record->name.value().empty())
    {
        return false;
    }
    if (update.record->name == this->own_update.record->name)
    {
        this->refute(update);
        return false;
    }
    std::optional<failure_domain> previous_domain;
    if (auto const known_index = this->table.find(update.record->name);
        known_index.has_value() && this->table.at(*known_index).is_active())
    {
        previous_domain = this->table.at(*known_index).record->domain;
    }
    auto const index = this->table.apply(update, now);
    if (!index.has_value())
    {
        return false;
    }
    this->update_domain_members(*index, previous_domain);
    this->on_change(*index, now);
    if (forward)
    {
        this->pending_updates.push(update);
    }
    return true;
}

void membership::update_domain_members(
    member_index index, std::optional<failure_domain> const & previous_domain)
{
    member_entry const & entry = this->table.at(index);
    bool const is_active = entry.is_active();
    if (previous_domain.has_value() && is_active &&
        *previous_domain == entry.record->domain)
    {
        return;
    }
    if (previous_domain.has_value())
    {
        this->domains.remove(*previous_domain, index);
    }
    if (is_active)
    {
        this->domains.add(entry.record->domain, index);
        this->probe_order.push_back(index);
        bool const is_unresponsive =
            this->domains.status(entry.record->domain).unresponsive;
        if (entry.unreachable != is_unresponsive)
        {
            this->table.set_unreachable(index, is_unresponsive);
        }
    }
}

void membership::on_change(member_index index, time_point now)
{
    if (this->table.at(index).state == member_state::suspect)
    {
        this->suspicions[index] = now + this->suspicion_timeout();
    }
    else
    {
        this->suspicions.erase(index);
    }
    this->emit_member_changed(index);
}

void membership::emit_member_changed(member_index index)
{
    member_entry const & entry = this->table.at(index);
    membership_event event;
    event.record = entry.record;
    event.state = entry.visible_state();
    this->events.push_back(std::move(event));
}

void membership::apply_updates(gossip_message const & message,
                               time_point now,
                               bool forward)
{
    for (auto const & update : message.updates)
    {
        bool const was_applied = this->apply(update, now, forward);
        this->updates_applied += was_applied ? 1 : 0;
    }
}

void membership::refute(member_update const & claim)
{
    member const & self = *this->own_update.record;
    bool const is_own_update =
        claim.record->incarnation_number == self.incarnation_number &&
        claim.record->sequence <= self.sequence &&
        claim.state == member_state::alive;
    if (is_own_update || is_later(self, *claim.record))
    {
        return;
    }
    member refutation = self;
    if (claim.record->incarnation_number == self.incarnation_number)
    {
        refutation.sequence = claim.record->sequence + 1;
    }
    else if (claim.record->incarnation_number > self.incarnation_number)
    {
        // The claim is from an earlier incarnation, started while the clock was
        // ahead; incarnation numbers derive from the clock.
        refutation.incarnation_number =
            incarnation(claim.record->incarnation_number.value() + 1);
        refutation.sequence = 0;
    }
    this->own_update.record =
        std::make_shared<member const>(std::move(refutation));
    this->pending_updates.push(this->own_update);
}

void membership::process_sender(gossip_message const & message, time_point now)
{
    this->apply(message.sender, now, true);
    if (auto const index = this->table.find(message.sender.record->name);
        index.has_value() && this->table.at(*index).is_active())
    {
        this->domains.status(message.sender.record->domain).last_received = now;
        this->set_unreachable(*index, false);
    }
    if (message.configuration > this->configuration)
    {
        membership_event event;
        event.kind = membership_event_kind::newer_configuration;
        event.record = message.sender.record;
        event.configuration = message.configuration;
        this->events.push_back(std::move(event));
    }
}

std::optional<member_update>
membership::refutable_update(gossip_message const & message) const
{
    auto const index = this->table.find(message.sender.record->name);
    if (!index.has_value() ||
        this->table.at(*index).state == member_state::alive)
    {
        return std::nullopt;
    }
    return this->update_of(*index);
}

void membership::on_ping(gossip_message const & message, endpoint const & from)
{
    if (message.subject != this->own_update.record->name)
    {
        // the ping is for another node that used this address before
        return;
    }
    gossip_message response = this->make_message(gossip_kind::acknowledgement);
    response.sequence = message.sequence;
    response.subject = this->own_update.record->name;
    auto const sender_update = this->refutable_update(message);
    this->send_with_updates(from,
                            std::move(response),
                            sender_update.has_value() ? &*sender_update
                                                      : nullptr);
}

void membership::on_acknowledgement(gossip_message const & message)
{
    auto const answered =
        std::find_if(this->probes.begin(),
                     this->probes.end(),
                     [&message](probe const & pending)
                     {
                         return pending.sequence == message.sequence &&
                                pending.name == message.subject;
                     });
    if (answered != this->probes.end())
    {
        probe const answered_probe = *answered;
        this->probes.erase(answered);
        this->on_probe_answered(answered_probe);
        return;
    }
    auto const relayed =
        std::find_if(this->relays.begin(),
                     this->relays.end(),
                     [&message](relay const & pending)
                     {
                         return pending.sequence == message.sequence;
                     });
    if (relayed == this->relays.end())
    {
        return;
    }
    gossip_message response = this->make_message(gossip_kind::acknowledgement);
    response.sequence = relayed->requester_sequence;
    response.subject = message.subject;
    this->send_with_updates(relayed->requester, std::move(response));
    this->relays.erase(relayed);
}

void membership::on_probe_answered(probe const & answered)
{
    if (answered.purpose == probe_purpose::failure_detection)
    {
        this->health.decrease_score();
    }
    member_entry const & entry = this->table.at(answered.index);
    bool const is_round_probe =
        answered.purpose == probe_purpose::domain_check ||
        answered.purpose == probe_purpose::domain_recovery;
    if (is_round_probe && entry.is_active())
    {
        ++this->domains.status(entry.record->domain).probes_answered;
    }
}

void membership::on_indirect_ping(gossip_message const & message,
                                  endpoint const & from,
                                  time_point now)
{
    if (this->relays.size() >= max_relays ||
        message.subject_address.host.empty())
    {
        return;
    }
    relay new_relay;
    new_relay.sequence = ++this->last_sequence;
    new_relay.requester = from;
    new_relay.requester_sequence = message.sequence;
    new_relay.deadline = now + this->options.probe_period;
    gossip_message ping = this->make_message(gossip_kind::ping);
    ping.sequence = new_relay.sequence;
    ping.subject = message.subject;
    this->relays.push_back(std::move(new_relay));
    this->send_with_updates(message.subject_address, std::move(ping));
}

} // namespace endivehinge
