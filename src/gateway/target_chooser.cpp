#include <endivehinge/detail/gateway/target_chooser.hpp>

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

target_chooser::target_chooser(gateway_state & shared_state)
    : state(shared_state)
{
}

std::optional<chosen_target>
target_chooser::choose(service_name const & service,
                       service_route const & route)
{
    auto const targets = this->eligible_targets(service);
    if (targets.empty())
    {
        return std::nullopt;
    }
    auto const now = loop_now();
    std::vector<target_candidate> candidates;
    candidates.reserve(targets.size());
    for (auto const * const entry : targets)
    {
        candidates.push_back(this->candidate_of(*entry, now));
    }
    auto const selected = this->select(candidates, route);
    // if all targets appear closed, one is selected at random, since it may
    // have opened after its load was received
    auto const index = selected.value_or(static_cast<std::size_t>(
        this->state.random() * static_cast<double>(targets.size())));
    this->attempted_targets.insert(targets[index]->id);
    return chosen_target{*targets[index], candidates[index]};
}

std::optional<chosen_target>
target_chooser::choose_with_room(service_name const & service,
                                 service_route const & route)
{
    auto const now = loop_now();
    std::vector<target_entry const *> targets;
    std::vector<target_candidate> candidates;
    for (auto const * const entry : this->eligible_targets(service))
    {
        auto candidate = this->candidate_of(*entry, now);
        if (this->state.hedges.has_room(candidate))
        {
            targets.push_back(entry);
            candidates.push_back(std::move(candidate));
        }
    }
    auto const index = this->select(candidates, route);
    if (!index)
    {
        return std::nullopt;
    }
    this->attempted_targets.insert(targets[*index]->id);
    return chosen_target{*targets[*index], candidates[*index]};
}

std::optional<std::size_t>
target_chooser::select(std::vector<target_candidate> const & candidates,
                       service_route const & route) const
{
    placement_request const request{this->state.mean_service_time(route),
                                    route.latency_target};
    return this->state.selector.choose(candidates,
                                       request,
                                       [this]
                                       {
                                           return this->state.random();
                                       });
}

void target_chooser::allow_retry(target_id const & target)
{
    this->attempted_targets.erase(target);
}

std::vector<target_entry const *>
target_chooser::eligible_targets(service_name const & service)
{
    std::vector<target_entry const *> eligible;
    for (auto const * const entry : this->state.fleet.ready_targets(service))
    {
        bool const local = entry->node == this->state.settings.node;
        if (this->attempted_targets.contains(entry->id) ||
            (!local && !this->is_usable(*entry)))
        {
            continue;
        }
        eligible.push_back(entry);
    }
    if (!this->state.rollouts)
    {
        return eligible;
    }
    if (!this->version_draw)
    {
        this->version_draw = this->state.random();
    }
    return this->state.rollouts->filter(
        service, eligible, *this->version_draw, loop_now());
}

bool target_chooser::is_usable(target_entry const & entry)
{
    auto const & peer = this->state.peer(entry.peer);
    return !peer.is_suspended() && !peer.has_disproved(entry.id);
}

target_candidate target_chooser::candidate_of(target_entry const & entry,
                                              time_point now) const
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
    candidate.load_age = now - peer.load_time();
    candidate.sent_since = peer.requests_since_load();
    candidate.failure_share = peer.failure_share();
    return candidate;
}

} // namespace endivehinge::detail
