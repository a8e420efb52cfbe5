#include <endivehinge/detail/node/request_router.hpp>

#include <utility> // move

#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

// A request that was in flight at this many target crashes is not retried.
constexpr int max_crash_count = 2;
constexpr duration rejection_retry_after = std::chrono::milliseconds(100);

outcome make_no_target_rejection()
{
    return outcome::rejected({failure_id::no_target,
                              "place",
                              {},
                              "no target of the service takes work"},
                             rejection_retry_after);
}

outcome make_deadline_rejection()
{
    return outcome::rejected(
        {failure_id::deadline_too_near, "place", {}, "the deadline has passed"},
        rejection_retry_after);
}

// The retry budget limits load on targets; a retry after an attempt that
// reached no target is free.
bool consumes_retry_budget(outcome const & last_outcome)
{
    switch (last_outcome.reason.id)
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

bool is_final(outcome const & last_outcome, request const & incoming)
{
    if (last_outcome.kind == outcome_kind::answered ||
        last_outcome.reason.id == failure_id::cancelled ||
        last_outcome.reason.id == failure_id::quarantined)
    {
        return true;
    }
    return last_outcome.kind == outcome_kind::indeterminate &&
           !incoming.repeatable;
}

// Whether the target or its node stopped while the request was in flight.
bool indicates_crash(outcome const & last_outcome)
{
    return last_outcome.kind == outcome_kind::indeterminate &&
           (last_outcome.reason.id == failure_id::target_died ||
            last_outcome.reason.id == failure_id::connect_failed);
}

attempt_report::result to_send_result(outcome const & attempt)
{
    switch (attempt.kind)
    {
    case outcome_kind::answered:
        return attempt_report::result::answered;
    case outcome_kind::rejected:
        return attempt_report::result::refused;
    case outcome_kind::indeterminate:
        break;
    }
    return attempt.reason.id == failure_id::cancelled
               ? attempt_report::result::abandoned
               : attempt_report::result::failed;
}

} // namespace

request_router::request_router(node_name name,
                               failure_domain local_domain,
                               router_dependencies shared_dependencies)
    : own_name(std::move(name))
    , own_domain(std::move(local_domain))
    , dependencies(shared_dependencies)
    , candidates(this->own_name, this->own_domain)
{
}

outcome request_router::route(request incoming, int caller_socket)
{
    std::vector<member> remaining = *this->find_candidates(incoming);
    outcome last_outcome = this->dependencies.time.now() < incoming.deadline
                               ? make_no_target_rejection()
                               : make_deadline_rejection();
    bool may_have_run = false;
    int crash_count = 0;
    while (this->dependencies.time.now() < incoming.deadline)
    {
        auto const index = this->choose_candidate(remaining);
        if (!index.has_value())
        {
            break;
        }
        last_outcome =
            this->attempt_on(remaining[*index], incoming, caller_socket);
        remaining.erase(remaining.begin() +
                        static_cast<std::ptrdiff_t>(*index));
        may_have_run =
            may_have_run || last_outcome.kind == outcome_kind::indeterminate;
        crash_count += indicates_crash(last_outcome) ? 1 : 0;
        incoming.suspect = incoming.suspect || crash_count > 0;
        if (is_final(last_outcome, incoming) ||
            crash_count >= max_crash_count ||
            !this->may_retry(last_outcome, incoming))
        {
            break;
        }
    }
    // A rejection promises that the request did not run, which is not certain
    // if an earlier attempt was indeterminate.
    if (may_have_run && last_outcome.kind == outcome_kind::rejected)
    {
        return outcome::indeterminate(std::move(last_outcome.reason));
    }
    return last_outcome;
}

candidate_list request_router::find_candidates(request const & incoming)
{
    auto const configured = this->dependencies.configured.current();
    auto const members = this->dependencies.members.snapshot();
    absl::MutexLock lock(&this->mutex);
    if (auto const * const service = configured->find(incoming.service))
    {
        this->retry_budgets.try_emplace(incoming.service, service->retry_share)
            .first->second.record_request(attempt_origin::first);
    }
    return this->candidates.find(incoming.service, members, configured);
}

std::optional<std::size_t>
request_router::choose_candidate(std::vector<member> const & candidate_members)
{
    absl::MutexLock lock(&this->mutex);
    return this->dependencies.policy.choose(
        this->describe_candidates(candidate_members),
        this->dependencies.time.now(),
        this->random);
}

std::vector<placement_candidate> request_router::describe_candidates(
    std::vector<member> const & candidate_members) const
{
    std::vector<placement_candidate> placement_candidates;
    placement_candidates.reserve(candidate_members.size());
    for (auto const & candidate : candidate_members)
    {
        placement_candidate description;
        description.node = candidate.name;
        description.local = candidate.name == this->own_name;
        description.same_domain = candidate.domain == this->own_domain;
        this->signals.describe(description);
        if (description.local)
        {
            description.signal = this->dependencies.local.load();
            description.sent_since_signal = 0;
        }
        placement_candidates.push_back(std::move(description));
    }
    return placement_candidates;
}

outcome request_router::attempt_on(member const & target_node,
                                   request const & incoming,
                                   int caller_socket)
{
    time_point const sent_at = this->dependencies.time.now();
    {
        absl::MutexLock lock(&this->mutex);
        this->signals.sent(target_node.name, sent_at);
    }
    remote_execution_result attempt =
        this->execute_on(target_node, incoming, caller_socket);
    this->record_attempt(target_node, sent_at, attempt);
    return std::move(attempt.result);
}

remote_execution_result request_router::execute_on(member const & target_node,
                                                   request const & incoming,
                                                   int caller_socket)
{
    if (target_node.name == this->own_name)
    {
        return {this->dependencies.local.execute(incoming, caller_socket),
                std::nullopt};
    }
    hop_request hop;
    hop.content = incoming;
    hop.try_id = this->dependencies.ids.next();
    return this->dependencies.remote.execute(target_node, hop, caller_socket);
}

void request_router::record_attempt(member const & target_node,
                                    time_point sent_at,
                                    remote_execution_result const & attempt)
{
    attempt_report report;
    report.ended = to_send_result(attempt.result);
    report.sent_at = sent_at;
    if (attempt.report.has_value())
    {
        report.signal = attempt.report->signal;
        report.time_at_node = attempt.report->time_at_node;
    }
    absl::MutexLock lock(&this->mutex);
    this->signals.ended(
        target_node.name, report, this->dependencies.time.now());
}

bool request_router::may_retry(outcome const & last_outcome,
                               request const & incoming)
{
    if (!consumes_retry_budget(last_outcome))
    {
        return true;
    }
    absl::MutexLock lock(&this->mutex);
    auto const budget = this->retry_budgets.find(incoming.service);
    return budget != this->retry_budgets.end() && budget->second.try_spend();
}

} // namespace endivehinge::detail
