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
constexpr std::size_t max_queued_tasks = 64;

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

// Adds jitter so that the nodes do not act at the same time.
duration randomize_interval(duration mean, absl::BitGenRef random)
{
    absl::uniform_int_distribution<std::int64_t> distribution(
        mean.count() / 2, mean.count() * 3 / 2);
    return duration(distribution(random));
}

// The platform's version also advances with objects of other kinds, so the set
// ends at the newest configuration change.
change_set make_change_set(object_version after, watch_result const & result)
{
    change_set changes{after, after, result.changes};
    for (auto const & object : result.changes)
    {
        changes.upto = std::max(changes.upto, object.version);
    }
    return changes;
}

} // namespace

configuration_service::configuration_service(
    node_name own_name,
    failure_domain own_domain,
    object_store & platform,
    member_directory const & directory,
    control_client & rpc_client,
    configuration_holder & current_holder,
    clock const & clock_source)
    : self(std::move(own_name))
    , domain(std::move(own_domain))
    , store(platform)
    , members(directory)
    , client(rpc_client)
    , time(clock_source)
    , replica(current_holder)
    , platform_backoff(timing.initial_platform_backoff,
                       timing.max_platform_backoff)
    , platform_reads(timing.platform_reads_per_second,
                     timing.platform_read_burst)
    , tasks(max_queued_tasks)
{
}

configuration_service::~configuration_service()
{
    this->stop();
}

void configuration_service::start()
{
    this->platform_thread =
        std::thread(&configuration_service::watch_platform, this);
    this->peer_thread =
        std::thread(&configuration_service::exchange_with_peers, this);
}

void configuration_service::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->is_stopping = true;
    }
    this->tasks.close();
    for (auto * const worker : {&this->platform_thread, &this->peer_thread})
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
        // A task dropped because the queue is full is recovered by
        // anti-entropy.
        static_cast<void>(this->tasks.try_push(
            {exchange_task::kind::pull, peer.control_address, version}));
    }
}

object_version configuration_service::version() const
{
    return this->replica.version();
}

bool configuration_service::is_ready() const
{
    return this->replica.is_ready();
}

bool configuration_service::pull(wire::pull_request const & request,
                                 wire::pull_response & response)
{
    *response.mutable_changes() =
        encode(this->replica.changes_after(object_version(request.after())));
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
            "Rejected an invalid change set from a peer.",
            {{"peer", request.from()}, {"reason", reason.describe()}});
        return false;
    }
    bool const advanced = this->merge_changes(*changes);
    object_version const current_version = this->version();
    response.set_version(current_version.value());
    if (!advanced && changes->upto > current_version)
    {
        auto const all_members = this->members.snapshot();
        for (auto const & peer : *all_members)
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
    bool should_continue = true;
    while (should_continue)
    {
        duration delay = timing.read_budget_poll_interval;
        if (this->platform_reads.try_take(this->time.now()))
        {
            delay = this->read_platform();
        }
        should_continue = !this->wait_for_next_read(delay);
    }
}

// Ends the long wait of a node without known peers as soon as it discovers one.
// Returns whether the process is stopping, so that nothing may be read any
// more.
bool configuration_service::wait_for_next_read(duration delay)
{
    bool const had_no_known_peers = this->has_no_known_peers();
    time_point const deadline = this->time.now() + delay;
    while (had_no_known_peers && this->has_no_known_peers() &&
           this->time.now() < deadline)
    {
        if (this->wait_for_stop(timing.read_budget_poll_interval))
        {
            return true;
        }
    }
    return this->wait_for_stop(had_no_known_peers ? duration(0) : delay);
}

// Returns the delay before the next read.
duration configuration_service::read_platform()
{
    duration const wait_limit =
        this->is_designated_watcher() ? timing.watch_timeout : duration(0);
    failure reason;
    object_version const after = this->version();
    auto const result =
        this->store.watch(configuration_kind, after, wait_limit, reason);
    absl::BitGen random_source;
    if (!result.has_value())
    {
        this->replica.record_platform_read(false, reason);
        return this->platform_backoff.next_delay(random_source);
    }
    this->platform_backoff.reset();
    static_cast<void>(this->merge_changes(make_change_set(after, *result)));
    this->replica.record_platform_read(true, reason);
    return this->is_designated_watcher() ? duration(0)
                                         : this->read_interval(random_source);
}

// The first read does not wait for changes, so that a new node soon gets the
// current configuration.
bool configuration_service::is_designated_watcher() const
{
    member_snapshot const all_members = this->members.snapshot();
    return this->replica.has_platform_responded() &&
           !this->has_no_known_peers() &&
           is_watcher(this->self,
                      this->domain,
                      *all_members,
                      watchers_per_failure_domain);
}

// When the whole fleet restarts, no node knows any peer at first. If each then
// watched the platform, the calls would exceed the platform's capacity.
bool configuration_service::has_no_known_peers() const
{
    member_snapshot const all_members = this->members.snapshot();
    return std::all_of(all_members->begin(),
                       all_members->end(),
                       [this](member const & other)
                       {
                           return other.name == this->self;
                       });
}

duration
configuration_service::read_interval(absl::BitGenRef random_source) const
{
    if (this->has_no_known_peers())
    {
        return randomize_interval(timing.single_node_read_interval,
                                  random_source);
    }
    auto const count =
        static_cast<std::int64_t>(this->members.snapshot()->size());
    return randomize_interval(
        std::max<duration>(timing.min_read_interval,
                           timing.read_interval_per_member * count),
        random_source);
}

void configuration_service::exchange_with_peers()
{
    this->pull_initial_configuration();
    while (true)
    {
        absl::BitGen random_source;
        auto const next = this->tasks.pop(absl::FromChrono(
            randomize_interval(timing.anti_entropy_interval, random_source)));
        if (this->tasks.is_closed())
        {
            return;
        }
        if (next.has_value())
        {
            this->execute_task(*next);
        }
        else
        {
            this->pull_from_random_peers(
                this->is_ready() ? 1 : timing.bootstrap_pull_fanout);
        }
    }
}

void configuration_service::pull_initial_configuration()
{
    time_point const deadline =
        this->time.now() + timing.peer_discovery_timeout;
    while (this->choose_peers(1).empty() && this->time.now() < deadline)
    {
        if (this->wait_for_stop(timing.peer_discovery_poll_interval))
        {
            return;
        }
    }
    this->pull_from_random_peers(timing.bootstrap_pull_fanout);
    this->replica.record_initial_pull();
}

void configuration_service::execute_task(exchange_task const & next)
{
    if (next.action == exchange_task::kind::push)
    {
        this->push_changes_after(next.version);
    }
    // Another peer may have sent this version in the meantime.
    else if (next.version > this->version())
    {
        this->pull_from(next.peer);
    }
}

void configuration_service::pull_from(endpoint const & peer)
{
    bool may_have_more = true;
    while (may_have_more)
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
        // A large change set is sent in several responses.
        auto const changes = decode(response->changes(), reason);
        may_have_more = changes.has_value() && this->merge_changes(*changes);
    }
    this->replica.record_peer_response();
}

void configuration_service::push_changes_after(object_version after)
{
    wire::push_request request;
    request.set_from(this->self.value());
    *request.mutable_changes() = encode(this->replica.changes_after(after));
    for (auto const & peer : this->choose_peers(timing.push_fanout))
    {
        failure reason;
        static_cast<void>(this->client.push(
            peer.control_address, request, timing.peer_timeout, reason));
    }
}

void configuration_service::pull_from_random_peers(std::size_t count)
{
    for (auto const & peer : this->choose_peers(count))
    {
        this->pull_from(peer.control_address);
    }
}

// Returns whether the changes contained anything new.
bool configuration_service::merge_changes(change_set const & changes)
{
    auto const previous_version = this->replica.merge_changes(changes);
    if (previous_version.has_value())
    {
        static_cast<void>(this->tasks.try_push(
            {exchange_task::kind::push, endpoint(), *previous_version}));
    }
    return previous_version.has_value();
}

bool configuration_service::wait_for_stop(duration wait_limit)
{
    absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->is_stopping),
                                        absl::FromChrono(wait_limit));
}

std::vector<member> configuration_service::choose_peers(std::size_t count)
{
    member_snapshot const all_members = this->members.snapshot();
    std::vector<member> reachable;
    for (auto const & other : *all_members)
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
