#include <algorithm> // find_if
#include <utility>   // move

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

// a member asks others to ping no more often than this within a timeout
constexpr std::size_t max_relays = 64;

} // namespace

void membership::receive(gossip_message const & message,
                         endpoint const & from,
                         time_point now,
                         absl::BitGenRef random)
{
    if (this->leaving || message.sender.record == nullptr ||
        message.sender.record->name == this->own.record->name)
    {
        return;
    }
    this->hear(message, now);
    switch (message.kind)
    {
    case gossip_kind::ping:
        this->apply_all(message, now, true);
        this->on_ping(message, from);
        break;
    case gossip_kind::acknowledgement:
        this->apply_all(message, now, true);
        this->on_acknowledgement(message);
        break;
    case gossip_kind::indirect_ping:
        this->apply_all(message, now, true);
        this->on_indirect_ping(message, from, now);
        break;
    case gossip_kind::announcement:
        this->apply_all(message, now, true);
        break;
    case gossip_kind::sync_request:
    case gossip_kind::sync_return:
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
                       bool pass_on)
{
    if (update.record == nullptr || update.record->name.value().empty())
    {
        return false;
    }
    if (update.record->name == this->own.record->name)
    {
        this->refute(update);
        return false;
    }
    std::optional<failure_domain> before;
    if (auto const known = this->table.find(update.record->name);
        known.has_value() && this->table.at(*known).present())
    {
        before = this->table.at(*known).record->domain;
    }
    auto const index = this->table.apply(update, now);
    if (!index.has_value())
    {
        return false;
    }
    this->place_in_domain(*index, before);
    this->on_change(*index, now);
    if (pass_on)
    {
        this->news.push(update);
    }
    return true;
}

void membership::place_in_domain(member_index index,
                                 std::optional<failure_domain> const & before)
{
    member_entry const & entry = this->table.at(index);
    bool const is_present = entry.present();
    if (before.has_value() && is_present && *before == entry.record->domain)
    {
        return;
    }
    if (before.has_value())
    {
        this->domains.remove(*before, index);
    }
    if (is_present)
    {
        this->domains.add(entry.record->domain, index);
        this->probe_order.push_back(index);
        bool const is_silent =
            this->domains.status(entry.record->domain).silent;
        if (entry.unreachable != is_silent)
        {
            this->table.set_unreachable(index, is_silent);
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
    this->tell_change(index);
}

void membership::tell_change(member_index index)
{
    member_entry const & entry = this->table.at(index);
    membership_event event;
    event.record = entry.record;
    event.state = entry.visible_state();
    this->events.push_back(std::move(event));
}

void membership::apply_all(gossip_message const & message,
                           time_point now,
                           bool pass_on)
{
    for (auto const & update : message.updates)
    {
        bool const was_new = this->apply(update, now, pass_on);
        this->learned += was_new ? 1 : 0;
    }
}

void membership::refute(member_update const & claim)
{
    member const & self = *this->own.record;
    bool const is_own_word =
        claim.record->incarnation_number == self.incarnation_number &&
        claim.record->sequence <= self.sequence &&
        claim.state == member_state::alive;
    if (is_own_word || is_later(self, *claim.record))
    {
        return;
    }
    member next = self;
    if (claim.record->incarnation_number == self.incarnation_number)
    {
        next.sequence = claim.record->sequence + 1;
    }
    else if (claim.record->incarnation_number > self.incarnation_number)
    {
        // an earlier run with a clock that was ahead
        next.incarnation_number =
            incarnation(claim.record->incarnation_number.value() + 1);
        next.sequence = 0;
    }
    this->own.record = std::make_shared<member const>(std::move(next));
    this->news.push(this->own);
}

void membership::hear(gossip_message const & message, time_point now)
{
    this->apply(message.sender, now, true);
    if (auto const index = this->table.find(message.sender.record->name);
        index.has_value() && this->table.at(*index).present())
    {
        this->domains.status(message.sender.record->domain).heard = now;
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
membership::doubt_of(gossip_message const & message) const
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
    if (message.subject != this->own.record->name)
    {
        // another node had this address before
        return;
    }
    gossip_message answer = this->make_message(gossip_kind::acknowledgement);
    answer.sequence = message.sequence;
    answer.subject = this->own.record->name;
    auto const doubted = this->doubt_of(message);
    this->send_with_updates(
        from, std::move(answer), doubted.has_value() ? &*doubted : nullptr);
}

void membership::on_acknowledgement(gossip_message const & message)
{
    auto const answered =
        std::find_if(this->probes.begin(),
                     this->probes.end(),
                     [&message](probe const & waiting)
                     {
                         return waiting.sequence == message.sequence &&
                                waiting.name == message.subject;
                     });
    if (answered != this->probes.end())
    {
        probe const copy = *answered;
        this->probes.erase(answered);
        this->on_answered(copy);
        return;
    }
    auto const relayed =
        std::find_if(this->relays.begin(),
                     this->relays.end(),
                     [&message](relay const & waiting)
                     {
                         return waiting.sequence == message.sequence;
                     });
    if (relayed == this->relays.end())
    {
        return;
    }
    gossip_message answer = this->make_message(gossip_kind::acknowledgement);
    answer.sequence = relayed->requester_sequence;
    answer.subject = message.subject;
    this->send_with_updates(relayed->requester, std::move(answer));
    this->relays.erase(relayed);
}

void membership::on_answered(probe const & answered)
{
    if (answered.purpose == probe_purpose::detect)
    {
        this->health.improve();
    }
    member_entry const & entry = this->table.at(answered.index);
    bool const is_round = answered.purpose == probe_purpose::sample ||
                          answered.purpose == probe_purpose::reach;
    if (is_round && entry.present())
    {
        ++this->domains.status(entry.record->domain).answered;
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
    relay next;
    next.sequence = ++this->last_sequence;
    next.requester = from;
    next.requester_sequence = message.sequence;
    next.ends = now + this->options.probe_period;
    gossip_message ping = this->make_message(gossip_kind::ping);
    ping.sequence = next.sequence;
    ping.subject = message.subject;
    this->relays.push_back(std::move(next));
    this->send_with_updates(message.subject_address, std::move(ping));
}

} // namespace endivehinge
