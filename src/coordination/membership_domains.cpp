#include <algorithm> // min
#include <utility>   // move

#include <absl/random/distributions.h> // Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{

bool membership::start_round(failure_domain const & name,
                             probe_purpose purpose,
                             std::size_t count,
                             member_index except,
                             time_point now,
                             absl::BitGenRef random)
{
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
    if (!this->start_round(name,
                           probe_purpose::reach,
                           this->options.reach_probes,
                           nobody,
                           now,
                           random))
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

} // namespace endivehinge
