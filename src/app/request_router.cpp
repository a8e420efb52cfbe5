#include <endivehinge/detail/node/request_router.hpp>

#include <utility> // move

#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr std::chrono::milliseconds refusal_retry_after(100);

bool may_run_again(outcome const & result, request const & placed)
{
    if (result.kind == outcome_kind::rejected)
    {
        return true;
    }
    bool const hung_up = result.reason.id == failure_id::cancelled;
    return result.kind == outcome_kind::indeterminate && placed.repeatable &&
           !hung_up;
}

} // namespace

request_router::request_router(node_name name,
                               failure_domain place,
                               member_directory const & directory,
                               local_executor & local,
                               remote_executor & others,
                               request_id_source & names,
                               placement_policy const & placement,
                               clock const & source)
    : self(std::move(name))
    , domain(std::move(place))
    , members(directory)
    , executor(local)
    , remote(others)
    , ids(names)
    , policy(placement)
    , time(source)
{
}

outcome request_router::route(request const & placed, int caller_socket)
{
    std::vector<member> left = this->candidates_for(placed.service);
    outcome last = outcome::rejected({failure_id::no_target,
                                      "place",
                                      {},
                                      "no target of the service is known"},
                                     refusal_retry_after);
    bool maybe_ran = false;
    while (this->time.now() < placed.deadline)
    {
        auto const index = this->choose(left);
        if (!index.has_value())
        {
            break;
        }
        last = this->try_on(left[*index], placed, caller_socket);
        if (!may_run_again(last, placed))
        {
            break;
        }
        maybe_ran = maybe_ran || last.kind == outcome_kind::indeterminate;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(*index));
    }
    // a refusal is true only if no earlier try can have run
    if (maybe_ran && last.kind == outcome_kind::rejected)
    {
        return outcome::indeterminate(std::move(last.reason));
    }
    return last;
}

std::vector<member>
request_router::candidates_for(service_name const & service) const
{
    std::vector<member> found;
    for (auto const & candidate : *this->members.snapshot())
    {
        if (candidate.service == service && candidate.accepts_work &&
            candidate.state == member_state::alive)
        {
            found.push_back(candidate);
        }
    }
    return found;
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
        if (auto const found = this->in_flight.find(candidate.name);
            found != this->in_flight.end())
        {
            next.own_in_flight = found->second;
        }
        described.push_back(std::move(next));
    }
    return described;
}

std::optional<std::size_t>
request_router::choose(std::vector<member> const & list) const
{
    absl::MutexLock lock(&this->mutex);
    return this->policy.choose(
        this->describe(list), this->time.now(), this->random);
}

outcome request_router::try_on(member const & chosen,
                               request const & placed,
                               int caller_socket)
{
    if (chosen.name == this->self)
    {
        return this->executor.execute(placed, caller_socket);
    }
    hop_request hop;
    hop.content = placed;
    hop.try_id = this->ids.next();
    this->count(chosen.name, 1);
    outcome result = this->remote.execute(chosen, hop, caller_socket);
    this->count(chosen.name, -1);
    return result;
}

void request_router::count(node_name const & node, int change)
{
    absl::MutexLock lock(&this->mutex);
    this->in_flight[node] += change;
}

} // namespace endivehinge::detail
