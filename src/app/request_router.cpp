#include <endivehinge/detail/node/request_router.hpp>

#include <utility> // move

#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

// a request that was there at so many deaths of targets goes no further
constexpr int most_deaths = 2;
constexpr duration refusal_retry_after = std::chrono::milliseconds(100);

outcome no_target_known()
{
    return outcome::rejected({failure_id::no_target,
                              "place",
                              {},
                              "no target of the service takes work"},
                             refusal_retry_after);
}

outcome deadline_has_passed()
{
    return outcome::rejected(
        {failure_id::deadline_too_near, "place", {}, "the deadline has passed"},
        refusal_retry_after);
}

// a try that reached no target cost nothing that the budget guards
bool put_load_on_a_target(outcome const & last)
{
    switch (last.reason.id)
    {
    case failure_id::connect_failed:
    case failure_id::no_target:
    case failure_id::draining:
    case failure_id::fenced:
        return false;
    default:
        return true;
    }
}

bool is_final(outcome const & last, request const & placed)
{
    if (last.kind == outcome_kind::answered ||
        last.reason.id == failure_id::cancelled ||
        last.reason.id == failure_id::quarantined)
    {
        return true;
    }
    return last.kind == outcome_kind::indeterminate && !placed.repeatable;
}

// its target ended while the request was there
bool makes_suspect(outcome const & last)
{
    return last.kind == outcome_kind::indeterminate &&
           (last.reason.id == failure_id::target_died ||
            last.reason.id == failure_id::connect_failed);
}

attempt_report::result evidence_of(outcome const & ended)
{
    switch (ended.kind)
    {
    case outcome_kind::answered:
        return attempt_report::result::answered;
    case outcome_kind::rejected:
        return attempt_report::result::refused;
    case outcome_kind::indeterminate:
        break;
    }
    return ended.reason.id == failure_id::cancelled
               ? attempt_report::result::abandoned
               : attempt_report::result::failed;
}

} // namespace

request_router::request_router(node_name name,
                               failure_domain place,
                               router_parts given)
    : self(std::move(name))
    , domain(std::move(place))
    , parts(given)
    , candidates(this->self, this->domain)
{
}

outcome request_router::route(request placed, int caller_socket)
{
    std::vector<member> left = *this->begin(placed);
    outcome last = this->parts.time.now() < placed.deadline
                       ? no_target_known()
                       : deadline_has_passed();
    bool maybe_ran = false;
    int deaths = 0;
    while (this->parts.time.now() < placed.deadline)
    {
        auto const index = this->choose(left);
        if (!index.has_value())
        {
            break;
        }
        last = this->try_on(left[*index], placed, caller_socket);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(*index));
        maybe_ran = maybe_ran || last.kind == outcome_kind::indeterminate;
        deaths += makes_suspect(last) ? 1 : 0;
        placed.suspect = placed.suspect || deaths > 0;
        if (is_final(last, placed) || deaths >= most_deaths ||
            !this->may_try_again(last, placed))
        {
            break;
        }
    }
    // a refusal is true only if no earlier try can have run
    if (maybe_ran && last.kind == outcome_kind::rejected)
    {
        return outcome::indeterminate(std::move(last.reason));
    }
    return last;
}

candidate_list request_router::begin(request const & placed)
{
    auto const configured = this->parts.configured.current();
    auto const members = this->parts.members.snapshot();
    absl::MutexLock lock(&this->mutex);
    if (auto const * const service = configured->find(placed.service))
    {
        this->budgets.try_emplace(placed.service, service->retry_share)
            .first->second.record_request(attempt_origin::first);
    }
    return this->candidates.find(placed.service, members, configured);
}

std::optional<std::size_t>
request_router::choose(std::vector<member> const & list)
{
    absl::MutexLock lock(&this->mutex);
    return this->parts.policy.choose(
        this->describe(list), this->parts.time.now(), this->random);
}

std::vector<placement_candidate>
request_router::describe(std::vector<member> const & list) const
{
    std::vector<placement_candidate> described;
    described.reserve(list.size());
    for (auto const & candidate : list)
    {
        placement_candidate next;
        next.node = candidate.name;
        next.local = candidate.name == this->self;
        next.same_domain = candidate.domain == this->domain;
        this->signals.describe(next);
        if (next.local)
        {
            next.signal = this->parts.local.load();
            next.sent_since_signal = 0;
        }
        described.push_back(std::move(next));
    }
    return described;
}

outcome request_router::try_on(member const & chosen,
                               request const & placed,
                               int caller_socket)
{
    time_point const sent_at = this->parts.time.now();
    {
        absl::MutexLock lock(&this->mutex);
        this->signals.sent(chosen.name, sent_at);
    }
    remote_result ended = this->send(chosen, placed, caller_socket);
    this->record(chosen, sent_at, ended);
    return std::move(ended.result);
}

remote_result request_router::send(member const & chosen,
                                   request const & placed,
                                   int caller_socket)
{
    if (chosen.name == this->self)
    {
        return {this->parts.local.execute(placed, caller_socket), std::nullopt};
    }
    hop_request hop;
    hop.content = placed;
    hop.try_id = this->parts.ids.next();
    return this->parts.remote.execute(chosen, hop, caller_socket);
}

void request_router::record(member const & chosen,
                            time_point sent_at,
                            remote_result const & ended)
{
    attempt_report report;
    report.ended = evidence_of(ended.result);
    report.sent_at = sent_at;
    if (ended.report.has_value())
    {
        report.signal = ended.report->signal;
        report.time_at_node = ended.report->time_at_node;
    }
    absl::MutexLock lock(&this->mutex);
    this->signals.ended(chosen.name, report, this->parts.time.now());
}

bool request_router::may_try_again(outcome const & last, request const & placed)
{
    if (!put_load_on_a_target(last))
    {
        return true;
    }
    absl::MutexLock lock(&this->mutex);
    auto const found = this->budgets.find(placed.service);
    return found != this->budgets.end() && found->second.try_spend();
}

} // namespace endivehinge::detail
