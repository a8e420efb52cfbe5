#include <endivehinge/detail/gateway/replica_sync.hpp>

#include <algorithm> // any_of, max

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// between looks at the node that is followed; bounds how long a change waits
// at a node that gets no requests
constexpr duration review_interval = std::chrono::milliseconds(800);
// for another node to answer
constexpr duration pull_timeout = std::chrono::milliseconds(400);
// a node that failed is not followed for so long
constexpr duration failed_time = std::chrono::milliseconds(4000);
// a node whose contact to the store is older has lost it: watches end after
// four seconds
constexpr duration oldest_contact = std::chrono::milliseconds(6000);
// what a followed node says of its contact holds for so long
constexpr duration contact_time = std::chrono::milliseconds(2000);
// the entry of a node that could not be reached for so long is removed
constexpr duration vanished_time = std::chrono::seconds(60);
// news from another failure domain are taken after this time, unless a near
// node has shown them; bytes between domains have a price
constexpr duration far_pause = std::chrono::milliseconds(150);

} // namespace

replica_sync::replica_sync(gateway_state & shared, store_adapter const & codec)
    : state(shared)
    , adapter(codec)
    , store(shared.io, shared.settings.store, upstream_options{})
    , replica(shared.fleet, codec, shared.log, shared.settings.node)
    , session(shared.io,
              this->store,
              codec,
              shared.log,
              this->replica,
              [&shared]
              {
                  return shared.random();
              })
    , publisher(shared.io,
                this->store,
                codec,
                shared.log,
                shared.settings.node,
                [&shared]
                {
                    return shared.random();
                })
    , review_timer(shared.io)
    , far_timer(shared.io)
{
}

void replica_sync::start(std::function<void()> on_configuration)
{
    fleet_replica::handlers actions;
    actions.configuration = std::move(on_configuration);
    actions.evacuations = [this]
    {
        this->state.target.set_evacuated(
            this->state.fleet.is_evacuated(this->state.settings.domain));
    };
    actions.entry =
        [this](std::optional<target_entry> held, object_version version)
    {
        this->publisher.observed(std::move(held), version);
    };
    actions.versions = [this](replica_versions const & versions)
    {
        this->state.own_sender.versions = versions;
    };
    this->replica.on_change(std::move(actions));
    this->state.on_peer_versions =
        [this](endpoint const & peer, replica_versions const & versions)
    {
        this->receive_peer_versions(peer, versions);
    };
    this->confirmed = loop_now();
    this->review();
}

void replica_sync::publish()
{
    // a node that stops leaves its entry: its next process finds it there
    auto const entry = this->state.target.entry();
    if (entry)
    {
        this->state.fleet.set_target(*entry);
    }
    else
    {
        this->state.fleet.remove_target(this->state.settings.node);
    }
    this->publisher.publish(entry);
}

void replica_sync::when_published(std::function<void()> action)
{
    this->publisher.when_published(std::move(action));
}

void replica_sync::serve(exchange & incoming)
{
    auto const known = replica_exchange::read_request(incoming.request);
    replica_exchange told;
    told.age = this->age();
    told.in_contact = this->in_contact();
    auto const own = this->replica.versions();
    for (std::size_t i = 0; i < object_kind_count; ++i)
    {
        if (own.kinds[i] > known.kinds[i])
        {
            told.kinds[i] = this->replica.changes_since(
                static_cast<object_kind>(i), known.kinds[i]);
        }
    }
    response_message answer{http::status::ok, 11};
    answer.set(http::field::content_type, "application/json");
    answer.body() = told.write();
    answer.prepare_payload();
    incoming.respond(std::move(answer));
}

// ---------------------------------------------------------------------------
// whom this node follows
// ---------------------------------------------------------------------------

void replica_sync::review()
{
    auto const chosen = this->source();
    if (chosen.peer)
    {
        if (!this->pulling)
        {
            this->pull(*chosen.peer, true);
        }
    }
    else
    {
        this->session.start();
        if (this->session.is_connected())
        {
            this->remove_vanished();
        }
        else if (!this->pulling)
        {
            this->ask_any_node();
        }
    }
    auto const spread = std::chrono::duration_cast<duration>(
        review_interval * (0.75 + this->state.random() / 2));
    this->review_timer.expires_after(spread);
    this->review_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->review();
            }
        });
}

replication_source replica_sync::source() const
{
    std::vector<replication_candidate> others;
    for (auto const * const entry :
         this->state.fleet.targets_of(this->state.settings.domain))
    {
        if (entry->node != this->state.settings.node)
        {
            others.push_back(
                {entry->node, entry->peer, this->has_failed(entry->peer)});
        }
    }
    std::vector<endpoint> seeds;
    bool is_seed = false;
    for (auto const & seed : this->state.settings.seeds)
    {
        is_seed = is_seed || seed == this->state.settings.report_listener;
        if (!this->has_failed(seed))
        {
            seeds.push_back(seed);
        }
    }
    if (is_seed)
    {
        seeds.clear();
    }
    return choose_replication_source(this->state.settings.node, others, seeds);
}

bool replica_sync::has_failed(endpoint const & peer) const
{
    auto const found = this->failed_until.find(peer);
    return found != this->failed_until.end() && loop_now() < found->second;
}

void replica_sync::mark_failed(endpoint const & peer, std::string const & why)
{
    auto const at = loop_now();
    absl::erase_if(this->failed_until,
                   [at](auto const & one)
                   {
                       return one.second <= at;
                   });
    this->failed_until[peer] = at + failed_time;
    this->state.log.write("replica_source_failed",
                          {{"peer", peer.to_string()}, {"reason", why}});
}

void replica_sync::pull(endpoint const & peer, bool from_source)
{
    this->pulling = true;
    this->state.peer(peer).call(
        replica_exchange::write_request(this->replica.versions()),
        pull_timeout,
        [this, peer, from_source](call_result result)
        {
            this->pulling = false;
            this->pulled(peer, from_source, std::move(result));
        });
}

void replica_sync::pulled(endpoint const & peer,
                          bool from_source,
                          call_result result)
{
    failure reason;
    reason.detail = result.detail;
    auto const told =
        result.status == call_status::answered &&
                result.response.result() == http::status::ok
            ? replica_exchange::read(result.response.body(), reason)
            : std::nullopt;
    if (!told)
    {
        if (from_source)
        {
            this->mark_failed(peer, reason.detail);
            this->review();
        }
        return;
    }
    this->confirmed = std::max(this->confirmed, loop_now() - told->age);
    for (std::size_t i = 0; i < object_kind_count; ++i)
    {
        if (told->kinds[i].version > object_version())
        {
            this->replica.apply(
                static_cast<object_kind>(i), told->kinds[i], peer.to_string());
        }
    }
    if (!from_source)
    {
        return;
    }
    if (!told->in_contact || told->age > oldest_contact)
    {
        this->mark_failed(peer, "no contact to the store");
        this->review();
        return;
    }
    this->contact_until = loop_now() + contact_time;
    this->session.stop();
}

void replica_sync::receive_peer_versions(endpoint const & peer,
                                         replica_versions const & versions)
{
    if (this->pulling ||
        !versions.is_newer_than(this->state.own_sender.versions))
    {
        return;
    }
    if (this->is_near(peer))
    {
        this->pull(peer, false);
        return;
    }
    if (this->far_pending)
    {
        return;
    }
    this->far_pending = true;
    this->far_timer.expires_after(far_pause);
    this->far_timer.async_wait(
        [this, peer, versions](boost::system::error_code error)
        {
            this->far_pending = false;
            if (!error && !this->pulling &&
                versions.is_newer_than(this->replica.versions()))
            {
                this->pull(peer, false);
            }
        });
}

void replica_sync::ask_any_node()
{
    auto const nodes =
        this->state.fleet.other_targets(this->state.settings.node);
    if (nodes.empty())
    {
        return;
    }
    auto const chosen = static_cast<std::size_t>(
        this->state.random() * static_cast<double>(nodes.size()));
    this->pull(nodes[chosen]->peer, false);
}

void replica_sync::remove_vanished()
{
    for (auto const * const entry :
         this->state.fleet.targets_of(this->state.settings.domain))
    {
        auto const * const held = this->replica.find_target(entry->node);
        if (entry->node == this->state.settings.node || held == nullptr ||
            this->state.peer(entry->peer).unreachable_duration() <
                vanished_time)
        {
            continue;
        }
        this->state.log.write("entry_removed",
                              {{"node", entry->node.value()},
                               {"target", entry->id.value()},
                               {"peer", entry->peer.to_string()}});
        call_options options;
        options.deadline = loop_now() + pull_timeout;
        // a node that lives writes its entry again
        static_cast<void>(this->store.send(
            this->adapter.remove_request(entry->node, held->version),
            options,
            false,
            [this](call_result const & result)
            {
                // the watch shows it where it is gone
                if (result.status != call_status::answered)
                {
                    this->state.log.write("entry_not_removed",
                                          {{"reason", result.detail}});
                }
            }));
        return;
    }
}

bool replica_sync::in_contact() const
{
    return this->session.is_active() ? this->session.is_connected()
                                     : loop_now() < this->contact_until;
}

bool replica_sync::is_near(endpoint const & peer) const
{
    auto const near = this->state.fleet.targets_of(this->state.settings.domain);
    return std::any_of(near.begin(),
                       near.end(),
                       [&peer](auto const * entry)
                       {
                           return entry->peer == peer;
                       });
}

duration replica_sync::age() const
{
    return loop_now() - std::max(this->confirmed, this->session.confirmed());
}

} // namespace endivehinge::detail
