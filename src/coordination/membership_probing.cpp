#include <algorithm> // max, min, remove_if, sort, unique
#include <cmath>     // log10
#include <utility>   // move, swap

#include <absl/random/distributions.h> // Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{

void membership::start_probe(member_index index,
                             probe_purpose purpose,
                             time_point now)
{
    member_update const target = this->update_of(index);
    probe next;
    next.sequence = ++this->last_sequence;
    next.purpose = purpose;
    next.index = index;
    next.name = target.record->name;
    next.sent = now;
    next.ask_others = now + this->health.stretch(this->options.ping_timeout);
    next.ends = now + this->health.stretch(this->options.probe_period);
    gossip_message message = this->make_message(gossip_kind::ping);
    message.sequence = next.sequence;
    message.subject = next.name;
    bool const is_doubted = target.state != member_state::alive;
    this->send_with_updates(target.record->control_address,
                            std::move(message),
                            is_doubted ? &target : nullptr);
    this->probes.push_back(std::move(next));
}

std::optional<member_index> membership::next_to_probe(absl::BitGenRef random)
{
    for (std::size_t i = 0; i < 2 * this->probe_order.size(); ++i)
    {
        if (this->probe_cursor >= this->probe_order.size())
        {
            this->probe_cursor = 0;
            // one that came back may stand twice
            std::sort(this->probe_order.begin(), this->probe_order.end());
            this->probe_order.erase(
                std::unique(this->probe_order.begin(), this->probe_order.end()),
                this->probe_order.end());
        }
        // shuffled while it is walked through
        auto const other = absl::Uniform<std::size_t>(
            random, this->probe_cursor, this->probe_order.size());
        std::swap(this->probe_order[this->probe_cursor],
                  this->probe_order[other]);
        member_index const index = this->probe_order[this->probe_cursor];
        member_entry const & entry = this->table.at(index);
        if (entry.record == nullptr || is_removed(entry.state))
        {
            this->probe_order[this->probe_cursor] = this->probe_order.back();
            this->probe_order.pop_back();
            continue;
        }
        ++this->probe_cursor;
        if (!entry.unreachable)
        {
            return index;
        }
    }
    return std::nullopt;
}

void membership::probe_next(time_point now, absl::BitGenRef random)
{
    if (now < this->next_probe)
    {
        return;
    }
    this->next_probe = now + this->health.stretch(this->options.probe_period);
    if (auto const index = this->next_to_probe(random))
    {
        this->start_probe(*index, probe_purpose::detect, now);
    }
}

void membership::check_probes(time_point now, absl::BitGenRef random)
{
    std::vector<probe> failed;
    for (auto & waiting : this->probes)
    {
        if (now >= waiting.ends)
        {
            failed.push_back(waiting);
        }
        else if (waiting.purpose == probe_purpose::detect &&
                 !waiting.others_asked && now >= waiting.ask_others)
        {
            this->ask_others(waiting, random);
        }
    }
    this->probes.erase(std::remove_if(this->probes.begin(),
                                      this->probes.end(),
                                      [now](probe const & waiting)
                                      {
                                          return now >= waiting.ends;
                                      }),
                       this->probes.end());
    this->relays.erase(std::remove_if(this->relays.begin(),
                                      this->relays.end(),
                                      [now](relay const & waiting)
                                      {
                                          return now >= waiting.ends;
                                      }),
                       this->relays.end());
    for (auto const & each : failed)
    {
        this->probe_failed(each, now, random);
    }
}

void membership::ask_others(probe & waiting, absl::BitGenRef random)
{
    waiting.others_asked = true;
    member_update const target = this->update_of(waiting.index);
    if (target.record == nullptr)
    {
        return;
    }
    for (std::size_t i = 0; i < this->options.indirect_probes; ++i)
    {
        auto const helper = this->random_member(random);
        if (!helper.has_value() || *helper == waiting.index)
        {
            continue;
        }
        gossip_message message = this->make_message(gossip_kind::indirect_ping);
        message.sequence = waiting.sequence;
        message.subject = waiting.name;
        message.subject_address = target.record->control_address;
        this->send_with_updates(this->table.at(*helper).record->control_address,
                                std::move(message));
    }
}

void membership::probe_failed(probe const & failed,
                              time_point now,
                              absl::BitGenRef random)
{
    if (failed.purpose != probe_purpose::detect)
    {
        return;
    }
    member_entry const & entry = this->table.at(failed.index);
    bool const is_same =
        entry.record != nullptr && entry.record->name == failed.name;
    if (!is_same || entry.state != member_state::alive || entry.unreachable)
    {
        return;
    }
    this->doubt(failed, now, random);
}

void membership::doubt(probe const & failed,
                       time_point now,
                       absl::BitGenRef random)
{
    failure_domain const name = this->table.at(failed.index).record->domain;
    domain_status & domain = this->domains.status(name);
    if (domain.silent)
    {
        this->set_unreachable(failed.index, true);
        return;
    }
    if (domain.heard > failed.sent)
    {
        this->suspect(failed.index, now);
        return;
    }
    bool const is_asking = domain.round_open ||
                           this->start_round(name,
                                             probe_purpose::sample,
                                             this->options.domain_check_probes,
                                             failed.index,
                                             now,
                                             random);
    if (!is_asking)
    {
        // it is alone in its domain
        this->suspect(failed.index, now);
        return;
    }
    this->domains.status(name).doubted.push_back(failed.index);
}

void membership::recall_gone(time_point now, absl::BitGenRef random)
{
    std::size_t const places = this->table.places();
    if (now < this->next_recall || places == 0)
    {
        return;
    }
    this->next_recall = now + this->options.gone_probe_interval;
    auto const first = absl::Uniform<std::size_t>(random, 0, places);
    for (std::size_t i = 0; i < places; ++i)
    {
        auto const index = static_cast<member_index>((first + i) % places);
        member_entry const & entry = this->table.at(index);
        if (entry.record != nullptr && entry.state == member_state::dead)
        {
            this->start_probe(index, probe_purpose::recall, now);
            return;
        }
    }
}

void membership::suspect(member_index index, time_point now)
{
    // its domain answers, so either of the two is at fault; a domain that is
    // cut off says nothing of this node's health
    this->health.worsen();
    member_update claim = this->update_of(index);
    claim.state = member_state::suspect;
    if (this->apply(claim, now, true))
    {
        // so that it can refute at once
        this->start_probe(index, probe_purpose::recall, now);
    }
}

void membership::check_suspicions(time_point now, absl::BitGenRef random)
{
    std::vector<member_index> expired;
    for (auto const & [index, deadline] : this->suspicions)
    {
        if (now >= deadline)
        {
            expired.push_back(index);
        }
    }
    for (member_index const index : expired)
    {
        this->end_suspicion(index, now, random);
    }
}

void membership::end_suspicion(member_index index,
                               time_point now,
                               absl::BitGenRef random)
{
    member_update claim = this->update_of(index);
    bool const is_settled = claim.record == nullptr ||
                            claim.state != member_state::suspect ||
                            this->table.at(index).unreachable;
    if (is_settled)
    {
        this->suspicions.erase(index);
        return;
    }
    if (this->domains.status(claim.record->domain).silent)
    {
        this->set_unreachable(index, true);
        return;
    }
    if (this->must_ask_domain(index, now, random))
    {
        // by then its domain has answered, or is silent
        this->suspicions[index] =
            now + this->health.stretch(2 * this->options.probe_period);
        return;
    }
    this->suspicions.erase(index);
    claim.state = member_state::dead;
    this->apply(claim, now, true);
}

bool membership::must_ask_domain(member_index index,
                                 time_point now,
                                 absl::BitGenRef random)
{
    failure_domain const name = this->table.at(index).record->domain;
    domain_status const & domain = this->domains.status(name);
    duration const recent =
        this->health.stretch(3 * this->options.probe_period);
    if (now - domain.heard < recent)
    {
        return false;
    }
    return domain.round_open || this->start_round(name,
                                                  probe_purpose::sample,
                                                  this->options.reach_probes,
                                                  index,
                                                  now,
                                                  random);
}

duration membership::suspicion_timeout() const
{
    double const members = static_cast<double>(this->table.present()) + 2;
    double const factor =
        this->options.suspicion_factor * std::max(1.0, std::log10(members));
    return this->health.stretch(std::chrono::duration_cast<duration>(
        this->options.probe_period * factor));
}

void membership::wake_from_pause(time_point now, duration pause)
{
    // answers that were missed say nothing of the others
    this->probes.clear();
    this->relays.clear();
    for (auto & [index, deadline] : this->suspicions)
    {
        deadline += pause;
    }
    for (auto & [name, domain] : this->domains.all())
    {
        domain.round_open = false;
        domain.doubted.clear();
    }
    this->health.distrust();
    this->next_probe = now;
    this->next_sync = now;
}

} // namespace endivehinge
