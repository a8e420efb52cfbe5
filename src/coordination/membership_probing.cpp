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
    next.name = target.about->name;
    next.sent = now;
    next.ask_others = now + this->health.stretch(this->options.ping_timeout);
    next.ends = now + this->health.stretch(this->options.probe_period);
    gossip_message message = this->make_message(gossip_kind::ping);
    message.sequence = next.sequence;
    message.subject = next.name;
    bool const is_doubted = target.state != member_state::alive;
    this->send_with_updates(target.about->control_address,
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
        if (entry.about == nullptr || is_gone(entry.state))
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
    if (target.about == nullptr)
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
        message.subject_address = target.about->control_address;
        this->send_with_updates(this->table.at(*helper).about->control_address,
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
    this->health.worsen();
    member_entry const & entry = this->table.at(failed.index);
    bool const is_same =
        entry.about != nullptr && entry.about->name == failed.name;
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
    failure_domain const name = this->table.at(failed.index).about->domain;
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
    bool const is_asking =
        domain.round_open ||
        this->start_round(
            name, probe_purpose::sample, failed.index, now, random);
    if (!is_asking)
    {
        // it is alone in its domain
        this->suspect(failed.index, now);
        return;
    }
    this->domains.status(name).doubted.push_back(failed.index);
}

bool membership::start_round(failure_domain const & name,
                             probe_purpose purpose,
                             member_index except,
                             time_point now,
                             absl::BitGenRef random)
{
    std::size_t const count = purpose == probe_purpose::sample
                                  ? this->options.domain_check_probes
                                  : this->options.reach_probes;
    auto const asked = domain_monitor::sample(
        this->domains.status(name), this->table, count, except, random);
    if (asked.empty())
    {
        return false;
    }
    for (member_index const index : asked)
    {
        this->start_probe(index, purpose, now);
    }
    domain_status & domain = this->domains.status(name);
    domain.round_open = true;
    domain.round_ends = now + this->health.stretch(this->options.probe_period);
    domain.asked = asked.size();
    domain.answered = 0;
    return true;
}

void membership::check_domains(time_point now, absl::BitGenRef random)
{
    for (auto & [name, domain] : this->domains.all())
    {
        std::size_t const enough =
            domain.silent ? std::min<std::size_t>(2, domain.asked) : 1;
        if (domain.round_open &&
            (now >= domain.round_ends || domain.answered >= enough))
        {
            this->end_round(domain, now);
        }
        if (domain.silent && !domain.round_open && now >= domain.next_round)
        {
            this->check_silent(name, now, random);
        }
    }
}

void membership::check_silent(failure_domain const & name,
                              time_point now,
                              absl::BitGenRef random)
{
    domain_status & domain = this->domains.status(name);
    domain.round_interval =
        std::min(2 * domain.round_interval, this->options.max_reach_interval);
    double const jitter = absl::Uniform(random, 0.75, 1.25);
    domain.next_round = now + std::chrono::duration_cast<duration>(
                                  domain.round_interval * jitter);
    // no member has this place
    auto const nobody = static_cast<member_index>(this->table.places());
    if (!this->start_round(name, probe_purpose::reach, nobody, now, random))
    {
        // all of them have left by what others say
        domain.silent = false;
    }
}

void membership::end_round(domain_status & domain, time_point now)
{
    domain.round_open = false;
    std::vector<member_index> const doubted = std::move(domain.doubted);
    domain.doubted.clear();
    if (domain.silent)
    {
        if (domain.answered >= std::min<std::size_t>(2, domain.asked))
        {
            this->set_silent(domain, false, now);
        }
        return;
    }
    if (domain.answered == 0)
    {
        this->set_silent(domain, true, now);
        return;
    }
    for (member_index const index : doubted)
    {
        if (this->table.at(index).present())
        {
            this->suspect(index, now);
        }
    }
}

void membership::set_silent(domain_status & domain, bool silent, time_point now)
{
    domain.silent = silent;
    domain.round_interval = this->options.min_reach_interval / 2;
    domain.next_round = now + this->options.min_reach_interval;
    for (member_index const index : domain.members)
    {
        this->set_unreachable(index, silent);
    }
}

void membership::set_unreachable(member_index index, bool unreachable)
{
    member_entry const & entry = this->table.at(index);
    if (!entry.present() || entry.unreachable == unreachable)
    {
        return;
    }
    this->table.set_unreachable(index, unreachable);
    this->suspicions.erase(index);
    this->tell_change(index);
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
        if (entry.about != nullptr && entry.state == member_state::dead)
        {
            this->start_probe(index, probe_purpose::recall, now);
            return;
        }
    }
}

void membership::suspect(member_index index, time_point now)
{
    member_update claim = this->update_of(index);
    claim.state = member_state::suspect;
    this->apply(claim, now, true);
}

void membership::check_suspicions(time_point now)
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
        this->suspicions.erase(index);
        member_update claim = this->update_of(index);
        if (claim.about == nullptr || claim.state != member_state::suspect ||
            this->table.at(index).unreachable)
        {
            continue;
        }
        if (this->domains.status(claim.about->domain).silent)
        {
            this->set_unreachable(index, true);
            continue;
        }
        claim.state = member_state::dead;
        this->apply(claim, now, true);
    }
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
