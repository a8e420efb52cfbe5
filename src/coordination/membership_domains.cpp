#include <algorithm> // min
#include <utility>   // move

#include <absl/random/distributions.h> // Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{

bool membership::start_probe_round(failure_domain const & name,
                                   probe_purpose purpose,
                                   std::size_t count,
                                   member_index excluded,
                                   time_point now,
                                   absl::BitGenRef random)
{
    auto const sampled = domain_monitor::sample(
        this->domains.status(name), this->table, count, excluded, random);
    if (sampled.empty())
    {
        return false;
    }
    for (member_index const index : sampled)
    {
        this->start_probe(index, purpose, now);
    }
    domain_status & domain = this->domains.status(name);
    domain.round_in_progress = true;
    domain.round_deadline =
        now + this->health.scale_timeout(this->options.probe_period);
    domain.probes_sent = sampled.size();
    domain.probes_answered = 0;
    return true;
}

void membership::update_probe_rounds(time_point now, absl::BitGenRef random)
{
    for (auto & [name, domain] : this->domains.all())
    {
        std::size_t const required_answers =
            domain.unresponsive ? std::min<std::size_t>(2, domain.probes_sent)
                                : 1;
        if (domain.round_in_progress &&
            (now >= domain.round_deadline ||
             domain.probes_answered >= required_answers))
        {
            this->finish_probe_round(domain, now);
        }
        if (domain.unresponsive && !domain.round_in_progress &&
            now >= domain.next_round_at)
        {
            this->start_recovery_round(name, now, random);
        }
    }
}

void membership::start_recovery_round(failure_domain const & name,
                                      time_point now,
                                      absl::BitGenRef random)
{
    domain_status & domain = this->domains.status(name);
    domain.round_interval = std::min(2 * domain.round_interval,
                                     this->options.max_recovery_interval);
    double const jitter = absl::Uniform(random, 0.75, 1.25);
    domain.next_round_at = now + std::chrono::duration_cast<duration>(
                                     domain.round_interval * jitter);
    // no member has this index, so none is excluded
    auto const no_member = static_cast<member_index>(this->table.index_count());
    if (!this->start_probe_round(name,
                                 probe_purpose::domain_recovery,
                                 this->options.recovery_probes,
                                 no_member,
                                 now,
                                 random))
    {
        // every member of the domain has left or died, according to updates
        domain.unresponsive = false;
    }
}

void membership::finish_probe_round(domain_status & domain, time_point now)
{
    domain.round_in_progress = false;
    std::vector<member_index> const pending_suspects =
        std::move(domain.pending_suspects);
    domain.pending_suspects.clear();
    if (domain.unresponsive)
    {
        if (domain.probes_answered >=
            std::min<std::size_t>(2, domain.probes_sent))
        {
            this->set_domain_unresponsive(domain, false, now);
        }
        return;
    }
    if (domain.probes_answered == 0)
    {
        this->set_domain_unresponsive(domain, true, now);
        return;
    }
    for (member_index const index : pending_suspects)
    {
        if (this->table.at(index).is_active())
        {
            this->suspect(index, now);
        }
    }
}

void membership::set_domain_unresponsive(domain_status & domain,
                                         bool unresponsive,
                                         time_point now)
{
    domain.unresponsive = unresponsive;
    domain.round_interval = this->options.min_recovery_interval / 2;
    domain.next_round_at = now + this->options.min_recovery_interval;
    for (member_index const index : domain.members)
    {
        this->set_unreachable(index, unresponsive);
    }
}

void membership::set_unreachable(member_index index, bool unreachable)
{
    member_entry const & entry = this->table.at(index);
    if (!entry.is_active() || entry.unreachable == unreachable)
    {
        return;
    }
    this->table.set_unreachable(index, unreachable);
    this->suspicions.erase(index);
    this->emit_member_changed(index);
}

} // namespace endivehinge
