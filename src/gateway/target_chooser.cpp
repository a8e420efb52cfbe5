#include <endivehinge/detail/gateway/target_chooser.hpp>

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

target_chooser::target_chooser(gateway_state & shared)
    : state(shared)
{
}

std::optional<chosen_target>
target_chooser::choose(service_name const & service,
                       service_route const & route)
{
    auto const targets = this->open_targets(service);
    if (targets.empty())
    {
        return std::nullopt;
    }
    auto const at = loop_now();
    std::vector<target_candidate> candidates;
    candidates.reserve(targets.size());
    for (auto const * const entry : targets)
    {
        candidates.push_back(this->candidate_of(*entry, at));
    }
    placement_request const wanted{this->state.mean_service_time(route),
                                   route.latency_target};
    auto const best =
        this->state.selector.choose(candidates,
                                    wanted,
                                    [this]
                                    {
                                        return this->state.random();
                                    });
    // a closed target may have opened since its load was heard
    auto const index = best.value_or(static_cast<std::size_t>(
        this->state.random() * static_cast<double>(targets.size())));
    this->tried.insert(targets[index]->id);
    return chosen_target{*targets[index], candidates[index]};
}

void target_chooser::offer_again(target_id const & target)
{
    this->tried.erase(target);
}

std::vector<target_entry const *>
target_chooser::open_targets(service_name const & service) const
{
    std::vector<target_entry const *> open;
    for (auto const * const entry : this->state.fleet.ready_targets(service))
    {
        bool const local = entry->node == this->state.settings.node;
        if (this->tried.contains(entry->id) ||
            (!local && this->state.peer(entry->peer).is_suspended()))
        {
            continue;
        }
        open.push_back(entry);
    }
    return open;
}

target_candidate target_chooser::candidate_of(target_entry const & entry,
                                              time_point at) const
{
    target_candidate candidate;
    candidate.id = entry.id;
    candidate.local = entry.node == this->state.settings.node;
    candidate.same_domain = entry.domain == this->state.settings.domain;
    if (candidate.local)
    {
        candidate.load = this->state.target.load();
        return candidate;
    }
    auto const & peer = this->state.peer(entry.peer);
    candidate.load = peer.load();
    candidate.load_age = at - peer.load_time();
    candidate.sent_since = peer.sent_since();
    candidate.failure_share = peer.failure_share();
    return candidate;
}

} // namespace endivehinge::detail
