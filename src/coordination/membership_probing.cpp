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
    probe new_probe;
    new_probe.sequence = ++this->last_sequence;
    new_probe.purpose = purpose;
    new_probe.index = index;
    new_probe.name = target.record->name;
    new_probe.sent_at = now;
    new_probe.indirect_ping_at =
        now + this->health.scale_timeout(this->options.ping_timeout);
    new_probe.deadline =
        now + this->health.scale_timeout(this->options.probe_period);
    gossip_message message = this->make_message(gossip_kind::ping);
    message.sequence = new_probe.sequence;
    message.subject = new_probe.name;
    bool const is_refutable = target.state != member_state::alive;
    this->send_with_updates(target.record->control_address,
                            std::move(message),
                            is_refutable ? &target : nullptr);
    this->probes.push_back(std::move(new_probe));
}

std::optional<member_index>
membership::next_probe_target(absl::BitGenRef random)
{
    for (std::size_t i = 0; i < 2 * this->probe_order.size(); ++i)
    {
        if (this->probe_cursor >= this->probe_order.size())
        {
            this->probe_cursor = 0;
            // a member that rejoined may be listed twice
            std::sort(this->probe_order.begin(), this->probe_order.end());
            this->probe_order.erase(
                std::unique(this->probe_order.begin(), this->probe_order.end()),
                this->probe_order.end());
        }
        // incremental Fisher-Yates shuffle
        auto const swap_position = absl::Uniform<std::size_t>(
            random, this->probe_cursor, this->probe_order.size());
        std::swap(this->probe_order[this->probe_cursor],
                  this->probe_order[swap_position]);
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

void membership::probe_next_member(time_point now, absl::BitGenRef random)
{
    if (now < this->next_probe)
    {
        return;
    }
    this->next_probe =
        now + this->health.scale_timeout(this->options.probe_period);
    if (auto const index = this->next_probe_target(random))
    {
        this->start_probe(*index, probe_purpose::failure_detection, now);
    }
}

void membership::expire_probes(time_point now, absl::BitGenRef random)
{
    std::vector<probe> failed_probes;
    for (auto & pending : this->probes)
    {
        if (now >= pending.deadline)
        {
            failed_probes.push_back(pending);
        }
        else if (pending.purpose == probe_purpose::failure_detection &&
                 !pending.indirect_pings_sent &&
                 now >= pending.indirect_ping_at)
        {
            this->send_indirect_pings(pending, random);
        }
    }
    this->probes.erase(std::remove_if(this->probes.begin(),
                                      this->probes.end(),
                                      [now](probe const & pending)
                                      {
                                          return now >= pending.deadline;
                                      }),
                       this->probes.end());
    this->relays.erase(std::remove_if(this->relays.begin(),
                                      this->relays.end(),
                                      [now](relay const & pending)
                                      {
                                          return now >= pending.deadline;
                                      }),
                       this->relays.end());
    for (auto const & failed_probe : failed_probes)
    {
        this->on_probe_timeout(failed_probe, now, random);
    }
}

void membership::send_indirect_pings(probe & pending, absl::BitGenRef random)
{
    pending.indirect_pings_sent = true;
    member_update const target = this->update_of(pending.index);
    if (target.record == nullptr)
    {
        return;
    }
    for (std::size_t i = 0; i < this->options.indirect_probes; ++i)
    {
        auto const relay_member = this->random_member(random);
        if (!relay_member.has_value() || *relay_member == pending.index)
        {
            continue;
        }
        gossip_message message = this->make_message(gossip_kind::indirect_ping);
        message.sequence = pending.sequence;
        message.subject = pending.name;
        message.subject_address = target.record->control_address;
        this->send_with_updates(
            this->table.at(*relay_member).record->control_address,
            std::move(message));
    }
}

void membership::on_probe_timeout(probe const & failed,
                                  time_point now,
                                  absl::BitGenRef random)
{
    if (failed.purpose != probe_purpose::failure_detection)
    {
        return;
    }
    member_entry const & entry = this->table.at(failed.index);
    bool const is_same_member =
        entry.record != nullptr && entry.record->name == failed.name;
    if (!is_same_member || entry.state != member_state::alive ||
        entry.unreachable)
    {
        return;
    }
    this->check_failed_member(failed, now, random);
}

void membership::check_failed_member(probe const & failed,
                                     time_point now,
                                     absl::BitGenRef random)
{
    failure_domain const name = this->table.at(failed.index).record->domain;
    domain_status & domain = this->domains.status(name);
    if (domain.unresponsive)
    {
        this->set_unreachable(failed.index, true);
        return;
    }
    if (domain.last_received > failed.sent_at)
    {
        this->suspect(failed.index, now);
        return;
    }
    bool const round_started =
        domain.round_in_progress ||
        this->start_probe_round(name,
                                probe_purpose::domain_check,
                                this->options.domain_check_probes,
                                failed.index,
                                now,
                                random);
    if (!round_started)
    {
        // no other member of its domain can be probed
        this->suspect(failed.index, now);
        return;
    }
    this->domains.status(name).pending_suspects.push_back(failed.index);
}

void membership::probe_dead_member(time_point now, absl::BitGenRef random)
{
    std::size_t const index_count = this->table.index_count();
    if (now < this->next_dead_probe || index_count == 0)
    {
        return;
    }
    this->next_dead_probe = now + this->options.dead_probe_interval;
    auto const first = absl::Uniform<std::size_t>(random, 0, index_count);
    for (std::size_t i = 0; i < index_count; ++i)
    {
        auto const index = static_cast<member_index>((first + i) % index_count);
        member_entry const & entry = this->table.at(index);
        if (entry.record != nullptr && entry.state == member_state::dead)
        {
            this->start_probe(index, probe_purpose::refutation, now);
            return;
        }
    }
}

void membership::suspect(member_index index, time_point now)
{
    // The member's domain responds, so either the member or this node is at
    // fault. An unresponsive domain is no evidence of this node's health and
    // does not change the score.
    this->health.increase_score();
    member_update claim = this->update_of(index);
    claim.state = member_state::suspect;
    if (this->apply(claim, now, true))
    {
        // carries the suspicion to the member, so that it can refute
        // immediately
        this->start_probe(index, probe_purpose::refutation, now);
    }
}

void membership::expire_suspicions(time_point now, absl::BitGenRef random)
{
    std::vector<member_index> expired_suspicions;
    for (auto const & [index, deadline] : this->suspicions)
    {
        if (now >= deadline)
        {
            expired_suspicions.push_back(index);
        }
    }
    for (member_index const index : expired_suspicions)
    {
        this->resolve_suspicion(index, now, random);
    }
}

void membership::resolve_suspicion(member_index index,
                                   time_point now,
                                   absl::BitGenRef random)
{
    member_update claim = this->update_of(index);
    bool const is_resolved = claim.record == nullptr ||
                             claim.state != member_state::suspect ||
                             this->table.at(index).unreachable;
    if (is_resolved)
    {
        this->suspicions.erase(index);
        return;
    }
    if (this->domains.status(claim.record->domain).unresponsive)
    {
        this->set_unreachable(index, true);
        return;
    }
    if (this->awaits_domain_check(index, now, random))
    {
        // by then the round of probes shows whether the domain responds
        this->suspicions[index] =
            now + this->health.scale_timeout(2 * this->options.probe_period);
        return;
    }
    this->suspicions.erase(index);
    claim.state = member_state::dead;
    this->apply(claim, now, true);
}

bool membership::awaits_domain_check(member_index index,
                                     time_point now,
                                     absl::BitGenRef random)
{
    failure_domain const name = this->table.at(index).record->domain;
    domain_status const & domain = this->domains.status(name);
    duration const recent_window =
        this->health.scale_timeout(3 * this->options.probe_period);
    if (now - domain.last_received < recent_window)
    {
        return false;
    }
    return domain.round_in_progress ||
           this->start_probe_round(name,
                                   probe_purpose::domain_check,
                                   this->options.recovery_probes,
                                   index,
                                   now,
                                   random);
}

duration membership::suspicion_timeout() const
{
    double const members = static_cast<double>(this->table.active_count()) + 2;
    double const factor =
        this->options.suspicion_factor * std::max(1.0, std::log10(members));
    return this->health.scale_timeout(std::chrono::duration_cast<duration>(
        this->options.probe_period * factor));
}

void membership::resume_after_pause(time_point now, duration pause)
{
    // responses missed during the pause are no evidence against other members
    this->probes.clear();
    this->relays.clear();
    for (auto & [index, deadline] : this->suspicions)
    {
        deadline += pause;
    }
    for (auto & [name, domain] : this->domains.all())
    {
        domain.round_in_progress = false;
        domain.pending_suspects.clear();
    }
    this->health.set_max_score();
    this->next_probe = now;
    this->next_sync = now;
}

} // namespace endivehinge
