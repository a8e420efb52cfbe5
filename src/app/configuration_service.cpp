#include <endivehinge/detail/node/configuration_service.hpp>

#include <algorithm> // all_of, max, sample
#include <iterator>  // back_inserter
#include <utility>   // move

#include <absl/random/uniform_int_distribution.h> // uniform_int_distribution
#include <absl/time/time.h>                       // FromChrono

#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/coordination/configuration_timing.hpp>
#include <endivehinge/coordination/watcher_election.hpp>
#include <endivehinge/detail/control/change_set_codec.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr configuration_timing timing;
constexpr std::size_t task_capacity = 64;

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

// random, so that the nodes do not act together
duration around(duration middle, absl::BitGenRef random)
{
    absl::uniform_int_distribution<std::int64_t> spread(middle.count() / 2,
                                                        middle.count() * 3 / 2);
    return duration(spread(random));
}

// the platform's version also grows with objects that are none of ours, so
// the newest of our changes is what counts
change_set changes_of(object_version after, watch_result const & seen)
{
    change_set changes{after, after, seen.changes};
    for (auto const & object : seen.changes)
    {
        changes.upto = std::max(changes.upto, object.version);
    }
    return changes;
}

} // namespace

configuration_service::configuration_service(node_name name,
                                             failure_domain own_domain,
                                             object_store & platform,
                                             member_directory const & directory,
                                             control_client & peers,
                                             configuration_holder & target,
                                             clock const & source)
    : self(std::move(name))
    , domain(std::move(own_domain))
    , store(platform)
    , members(directory)
    , client(peers)
    , time(source)
    , ledger(target)
    , platform_backoff(timing.initial_platform_backoff,
                       timing.max_platform_backoff)
    , platform_reads(timing.platform_reads_per_second,
                     timing.platform_read_burst)
    , tasks(task_capacity)
{
}

configuration_service::~configuration_service()
{
    this->stop();
}

void configuration_service::start()
{
    this->watching = std::thread(&configuration_service::watch_platform, this);
    this->exchanging =
        std::thread(&configuration_service::exchange_with_peers, this);
}

void configuration_service::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->tasks.close();
    for (auto * const worker : {&this->watching, &this->exchanging})
    {
        if (worker->joinable())
        {
            worker->join();
        }
    }
}

void configuration_service::on_peer_version(member const & peer,
                                            object_version version)
{
    if (version > this->version() && peer.control_address.port != 0)
    {
        // a full ring is no loss: anti-entropy catches up
        static_cast<void>(this->tasks.try_push(
            {task::kind::pull, peer.control_address, version}));
    }
}

object_version configuration_service::version() const
{
    return this->ledger.version();
}

bool configuration_service::is_ready() const
{
    return this->ledger.is_ready();
}

bool configuration_service::pull(wire::pull_request const & request,
                                 wire::pull_response & response)
{
    *response.mutable_changes() =
        encode(this->ledger.changes_after(object_version(request.after())));
    return true;
}

bool configuration_service::push(wire::push_request const & request,
                                 wire::push_response & response)
{
    failure reason;
    auto const changes = decode(request.changes(), reason);
    if (!changes.has_value())
    {
        log().warning(
            "A peer sent what is no set of changes.",
            {{"peer", request.from()}, {"reason", reason.describe()}});
        return false;
    }
    bool const advanced = this->take_in(*changes);
    object_version const reached = this->version();
    response.set_version(reached.value());
    if (!advanced && changes->upto > reached)
    {
        auto const known = this->members.snapshot();
        for (auto const & peer : *known)
        {
            if (peer.name.value() == request.from())
            {
                this->on_peer_version(peer, changes->upto);
            }
        }
    }
    return true;
}

void configuration_service::watch_platform()
{
    bool goes_on = true;
    while (goes_on)
    {
        duration pause = timing.read_budget_poll_interval;
        if (this->platform_reads.try_take(this->time.now()))
        {
            pause = this->read_platform();
        }
        goes_on = !this->wait_before_read(pause);
    }
}

// a node that gets to know others has no reason to wait as a lone one
bool configuration_service::wait_before_read(duration pause)
{
    bool const was_alone = this->is_alone();
    time_point const until = this->time.now() + pause;
    while (was_alone && this->is_alone() && this->time.now() < until)
    {
        if (this->wait_stopping(timing.read_budget_poll_interval))
        {
            return true;
        }
    }
    return this->wait_stopping(was_alone ? duration(0) : pause);
}

// returns how long to wait before the next read
duration configuration_service::read_platform()
{
    duration const patience =
        this->holds_watch() ? timing.watch_timeout : duration(0);
    failure reason;
    object_version const after = this->version();
    auto const seen =
        this->store.watch(configuration_kind, after, patience, reason);
    absl::BitGen spread;
    if (!seen.has_value())
    {
        this->ledger.note_platform(false, reason);
        return this->platform_backoff.next_delay(spread);
    }
    this->platform_backoff.reset();
    static_cast<void>(this->take_in(changes_of(after, *seen)));
    this->ledger.note_platform(true, reason);
    return this->holds_watch() ? duration(0) : this->read_interval(spread);
}

// the first read does not wait, so that a fresh node soon knows what is there
bool configuration_service::holds_watch() const
{
    member_snapshot const known = this->members.snapshot();
    return this->ledger.has_platform_answered() && !this->is_alone() &&
           is_watcher(
               this->self, this->domain, *known, watchers_per_failure_domain);
}

// in a restart of the whole fleet nobody knows anybody at first; were each its
// own watcher then, the platform would get more calls than it takes
bool configuration_service::is_alone() const
{
    member_snapshot const known = this->members.snapshot();
    return std::all_of(known->begin(),
                       known->end(),
                       [this](member const & other)
                       {
                           return other.name == this->self;
                       });
}

duration configuration_service::read_interval(absl::BitGenRef spread) const
{
    if (this->is_alone())
    {
        return around(timing.single_node_read_interval, spread);
    }
    auto const count =
        static_cast<std::int64_t>(this->members.snapshot()->size());
    return around(std::max<duration>(timing.min_read_interval,
                                     timing.read_interval_per_member * count),
                  spread);
}

void configuration_service::exchange_with_peers()
{
    this->ask_first_peers();
    while (true)
    {
        absl::BitGen spread;
        auto const next = this->tasks.pop(
            absl::FromChrono(around(timing.anti_entropy_interval, spread)));
        if (this->tasks.is_closed())
        {
            return;
        }
        if (next.has_value())
        {
            this->do_task(*next);
        }
        else
        {
            this->pull_from_some(
                this->is_ready() ? 1 : timing.bootstrap_pull_fanout);
        }
    }
}

void configuration_service::ask_first_peers()
{
    time_point const deadline =
        this->time.now() + timing.peer_discovery_timeout;
    while (this->choose_peers(1).empty() && this->time.now() < deadline)
    {
        if (this->wait_stopping(timing.peer_discovery_poll_interval))
        {
            return;
        }
    }
    this->pull_from_some(timing.bootstrap_pull_fanout);
    this->ledger.note_first_peers_asked();
}

void configuration_service::do_task(task const & next)
{
    if (next.what == task::kind::push)
    {
        this->push_on(next.version);
    }
    // another peer may have given it meanwhile
    else if (next.version > this->version())
    {
        this->pull_from(next.peer);
    }
}

void configuration_service::pull_from(endpoint const & peer)
{
    bool more = true;
    while (more)
    {
        wire::pull_request request;
        request.set_from(this->self.value());
        request.set_after(this->version().value());
        failure reason;
        auto const response =
            this->client.pull(peer, request, timing.peer_timeout, reason);
        if (!response.has_value())
        {
            return;
        }
        // a large set of changes comes in parts
        auto const changes = decode(response->changes(), reason);
        more = changes.has_value() && this->take_in(*changes);
    }
    this->ledger.note_peer_answer();
}

void configuration_service::push_on(object_version after)
{
    wire::push_request request;
    request.set_from(this->self.value());
    *request.mutable_changes() = encode(this->ledger.changes_after(after));
    for (auto const & peer : this->choose_peers(timing.push_fanout))
    {
        failure reason;
        static_cast<void>(this->client.push(
            peer.control_address, request, timing.peer_timeout, reason));
    }
}

void configuration_service::pull_from_some(std::size_t count)
{
    for (auto const & peer : this->choose_peers(count))
    {
        this->pull_from(peer.control_address);
    }
}

// returns whether anything in it was new
bool configuration_service::take_in(change_set const & changes)
{
    auto const before = this->ledger.take_in(changes);
    if (before.has_value())
    {
        static_cast<void>(
            this->tasks.try_push({task::kind::push, endpoint(), *before}));
    }
    return before.has_value();
}

bool configuration_service::wait_stopping(duration patience)
{
    absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                        absl::FromChrono(patience));
}

std::vector<member> configuration_service::choose_peers(std::size_t count)
{
    member_snapshot const known = this->members.snapshot();
    std::vector<member> reachable;
    for (auto const & other : *known)
    {
        if (other.name != this->self && other.control_address.port != 0 &&
            other.state == member_state::alive)
        {
            reachable.push_back(other);
        }
    }
    std::vector<member> chosen;
    absl::MutexLock lock(&this->mutex);
    std::sample(reachable.begin(),
                reachable.end(),
                std::back_inserter(chosen),
                count,
                this->random);
    return chosen;
}

} // namespace endivehinge::detail
