#include <endivehinge/detail/gateway/replica_sync.hpp>

#include <algorithm> // any_of, find, max, remove_if
#include <utility>   // exchange, move

#include <absl/strings/str_cat.h> // StrCat
#include <boost/asio/post.hpp>    // post

#include <endivehinge/coordination/relay_tree.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>
#include <endivehinge/detail/gateway/version_notice.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// between pulls from the replication source; bounds the delay of a change at a
// node that receives no requests
constexpr duration source_check_interval = std::chrono::milliseconds(800);
// for the response of another node to begin, and without further bytes of it;
// for removing an entry
constexpr duration pull_timeout = std::chrono::milliseconds(400);
// from a deferred response to the next request, by when other nodes have the
// changes as well
constexpr duration deferral_delay = std::chrono::milliseconds(120);
// after the first deferred response, a node reads the store itself
constexpr duration max_deferral = std::chrono::milliseconds(1500);
// after the start, for other nodes to send the configuration, compressed,
// before a node reads the whole text from the store
constexpr duration configuration_read_delay = std::chrono::milliseconds(200);
// after the start, with a configuration that neither the store nor another node
// has confirmed; then they are taken for unreachable
constexpr duration max_confirmation_wait = std::chrono::milliseconds(2000);
// after the start, for the snapshot of the store to arrive before the seeds are
// queried; their responses may cross failure domains
constexpr duration seed_query_delay = std::chrono::milliseconds(50);
// nodes that start together reach each other within this time; until then, a
// node with a snapshot does not replace an unreachable replication source
constexpr duration fleet_start_duration = std::chrono::milliseconds(1000);
// until then, a fleet that starts for the first time has written its entries
constexpr duration first_start_duration = std::chrono::milliseconds(3000);
// with an older last response of any node, a node calls the store itself
constexpr duration max_pull_response_age = std::chrono::milliseconds(2400);
// how long a node is excluded as replication source while a fleet may start
constexpr duration starting_source_exclusion = std::chrono::milliseconds(300);
// a source that lists the store again, after a lost watch or a restore, is in
// contact with it again within this time
constexpr duration lost_source_recheck_delay = std::chrono::milliseconds(300);
// how long a failed node is excluded as replication source
constexpr duration failed_source_exclusion = std::chrono::milliseconds(4000);
// with an older last response of the store a node counts as disconnected; the
// most frequent watch of a session ends after 1.6 s at the latest
constexpr duration max_contact_age = std::chrono::milliseconds(6000);
// how long a replication source's report of store contact stays valid
constexpr duration contact_validity = std::chrono::milliseconds(2000);
// the entry of a node that has been unreachable for this long is removed
constexpr duration unreachable_removal_age = std::chrono::seconds(60);
// before a pull from another failure domain, so that a node of the local domain
// can supply the changes first; traffic between domains is charged
constexpr duration remote_domain_pull_delay = std::chrono::milliseconds(150);
// between pulls for a newer configuration alone, which a node that cannot read
// it would repeat with each message
constexpr duration configuration_pull_interval = std::chrono::milliseconds(200);
// a node that starts beside a running target learns of it by a health probe
// within this time. Until then it keeps the stored entry of its last process:
// removing and writing it again cost two calls of the store, and the other
// nodes did without the target in between
constexpr duration target_discovery_time = std::chrono::milliseconds(1500);
// the store has not returned from an older copy yet
store_era const first_era(1);
// for a node to respond that may have a newer configuration than a restored
// store; covers three rounds of source selection. Without any such node, the
// store's configuration counts
constexpr duration lost_configuration_wait = std::chrono::seconds(3);
// entries removed in one round, so that a restore does not exceed the
// platform's rate of writes
constexpr std::size_t max_removals_per_round = 8;

// for the write of a roll-out's status; the store usually responds in
// milliseconds and may be 100 times slower
constexpr duration status_write_timeout = std::chrono::milliseconds(1000);

std::vector<object_kind> followed_kinds(gateway_settings const & settings)
{
    std::vector<object_kind> kinds{object_kind::configuration,
                                   object_kind::evacuations,
                                   object_kind::targets};
    if (settings.rollouts)
    {
        kinds.push_back(object_kind::rollouts);
    }
    return kinds;
}

} // namespace

replica_sync::replica_sync(gateway_state & shared, store_adapter const & codec)
    : state(shared)
    , adapter(codec)
    , store(shared.io, shared.settings.store, upstream_options{})
    , eras(codec, shared.log)
    , restores(shared.log)
    , replica(shared.fleet,
              codec,
              shared.log,
              shared.settings.node,
              shared.settings.rollouts.has_value())
    , snapshot(this->store, codec, shared.log, this->eras, this->replica)
    , session(shared.io,
              this->store,
              codec,
              shared.log,
              this->eras,
              this->replica,
              followed_kinds(shared.settings),
              [&shared]
              {
                  return shared.random();
              })
    , publisher(shared.io,
                this->store,
                codec,
                shared.log,
                this->eras,
                shared.settings.node,
                [&shared]
                {
                    return shared.random();
                })
    , seed_timer(shared.io)
    , source_timer(shared.io)
    , remote_pull_timer(shared.io)
    , settle_timer(shared.io)
    , discovery_timer(shared.io)
    , deferral_timer(shared.io)
    , configuration_read_timer(shared.io)
{
}

void replica_sync::start(std::function<void()> on_configuration)
{
    fleet_replica::handlers callbacks;
    callbacks.configuration = std::move(on_configuration);
    callbacks.copied = [this](copy_source const & source)
    {
        this->report_processing(source);
    };
    callbacks.evacuations = [this]
    {
        this->state.target.set_evacuated(
            this->state.fleet.is_evacuated(this->state.settings.domain));
    };
    callbacks.entry = [this](std::optional<target_entry> stored_object,
                             object_version version)
    {
        if (stored_object)
        {
            this->state.target.restore(*stored_object);
        }
        this->publisher.record_stored(std::move(stored_object), version);
    };
    callbacks.any_entry = [this](target_entry const & entry)
    {
        if (entry.service == this->state.settings.service)
        {
            this->state.target.crash_monitor().restore(entry.crashing_requests);
        }
    };
    callbacks.versions = [this](replica_versions const & versions)
    {
        this->state.own_sender.versions = versions;
        this->learn_eras(versions);
    };
    callbacks.restored = [this](restored_copy const & copy)
    {
        this->restores.record(copy, this->replica.versions());
    };
    callbacks.settling = [this]
    {
        this->arm_settle_timer();
    };
    this->eras.on_rise(
        [this]
        {
            this->on_era_rise();
        });
    this->replica.on_change(std::move(callbacks));
    this->state.on_peer_versions =
        [this](endpoint const & peer, replica_versions const & versions)
    {
        this->receive_peer_versions(peer, versions);
    };
    this->state.configuration_age = [this]
    {
        return this->configuration_age();
    };
    this->state.is_configuration_confirmed = [this]
    {
        return this->is_configuration_confirmed();
    };
    this->session.on_current_configuration(
        [this](boot_time sent, duration hold)
        {
            bool const was_unconfirmed = !this->configuration_age();
            if (hold > duration(0))
            {
                this->freshness.record_unchanged(sent, hold, boot_clock::now());
            }
            else
            {
                this->freshness.record_read(sent);
            }
            this->report_confirmation(was_unconfirmed);
        });
    this->snapshot.on_current_configuration(
        [this](boot_time sent)
        {
            bool const was_unconfirmed = !this->configuration_age();
            this->freshness.record_read(sent);
            this->report_confirmation(was_unconfirmed);
        });
    this->started_at = loop_now();
    this->last_store_response = this->started_at;
    this->last_pull_response = this->started_at;
    // nodes of a fleet that runs send the configuration faster than the store
    this->snapshot.read({this->state.settings.first_start,
                         true,
                         true,
                         this->follows_rollouts()},
                        read_freshness::may_be_stale,
                        [this]
                        {
                            this->start_source_selection();
                        });
    this->arm_configuration_read_timer();
    this->arm_seed_timer();
}

void replica_sync::arm_seed_timer()
{
    this->seed_timer.expires_after(seed_query_delay);
    this->seed_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->state.fleet.configuration())
            {
                return;
            }
            if (this->pulling)
            {
                // the replication source is about to send the same
                this->arm_seed_timer();
                return;
            }
            this->query_seeds();
        });
}

void replica_sync::arm_configuration_read_timer()
{
    this->configuration_read_timer.expires_after(configuration_read_delay);
    this->configuration_read_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->state.fleet.configuration())
            {
                return;
            }
            if (this->snapshot.is_reading())
            {
                this->arm_configuration_read_timer();
                return;
            }
            this->snapshot.read({true, false, false, false},
                                read_freshness::may_be_stale,
                                [] {});
        });
}

void replica_sync::publish()
{
    if (this->withdrawn)
    {
        return;
    }
    // a stopping node keeps its entry for its next process
    auto const entry = this->state.target.entry();
    if (entry)
    {
        this->state.fleet.set_target(*entry);
    }
    else
    {
        this->state.fleet.remove_target(this->state.settings.node);
    }
    this->has_had_target = this->has_had_target || entry;
    if (!this->has_had_target &&
        loop_now() - this->started_at < target_discovery_time)
    {
        this->arm_discovery_timer();
        return;
    }
    this->publisher.publish(entry);
}

void replica_sync::arm_discovery_timer()
{
    if (this->discovery_pending)
    {
        return;
    }
    this->discovery_pending = true;
    this->discovery_timer.expires_at(std::chrono::steady_clock::time_point(
        this->started_at + target_discovery_time));
    this->discovery_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->publish();
            }
        });
}

void replica_sync::withdraw()
{
    this->withdrawn = true;
    this->publisher.publish(std::nullopt);
}

void replica_sync::when_published(std::function<void()> callback)
{
    this->publisher.when_published(std::move(callback));
}

void replica_sync::serve(exchange & incoming)
{
    auto known_versions = replica_exchange::read_request(incoming.request);
    replica_exchange reply;
    reply.age = this->contact_age();
    reply.in_contact = this->has_store_contact();
    if (auto const & active = this->state.fleet.configuration();
        active && (active->requires_accounts || !reply.in_contact))
    {
        reply.states_configuration_age = true;
        reply.configuration_age = this->configuration_age();
    }
    auto const own_versions = this->replica.versions();
    bool const states_eras = replica_exchange::states_eras(incoming.request);
    if (!states_eras)
    {
        // an earlier version compares revisions only; a complete list in each
        // response would be no use to it
        known_versions.assume_eras_of(own_versions);
    }
    for (std::size_t i = 0; i < reply.kinds.size(); ++i)
    {
        if (own_versions.kinds[i] > known_versions.kinds[i])
        {
            reply.kinds[i] = this->replica.changes_since(
                static_cast<object_kind>(i), known_versions.kinds[i]);
        }
    }
    if (own_versions.rollouts && known_versions.rollouts &&
        *own_versions.rollouts > *known_versions.rollouts)
    {
        reply.rollouts = this->replica.changes_since(object_kind::rollouts,
                                                     *known_versions.rollouts);
    }
    // the message of an earlier build does not say which configuration it has
    if (states_eras && known_versions.configuration_version <
                           own_versions.configuration_version)
    {
        reply.kinds[static_cast<std::size_t>(object_kind::configuration)] =
            this->replica.changes_since(object_kind::configuration,
                                        object_version());
    }
    if (auto const held = replica_exchange::read_held_digest(incoming.request))
    {
        reply.pack(this->replica.configuration_texts(), *held);
    }
    this->newest_requester_configuration =
        std::max(this->newest_requester_configuration,
                 known_versions.configuration_version);
    if (!this->is_first_start() &&
        !this->budget.try_spend(reply.content_size(), loop_now()))
    {
        reply.defer();
        this->state.metrics.increment("replica_responses_deferred");
    }
    response_message response{http::status::ok, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = reply.write();
    response.prepare_payload();
    incoming.respond(std::move(response));
}

// ---------------------------------------------------------------------------
// roll-outs
// ---------------------------------------------------------------------------

void replica_sync::write_rollout_status(
    rollout_entry const & base,
    rollout_status const & status,
    std::function<void(rollout_write_result const &)> const & done)
{
    rollout_write_result unsent;
    if (base.version.era() < this->eras.newest())
    {
        // the revision may have been given out again, to another change
        unsent.detail = "the store has returned from an older copy";
    }
    else
    {
        call_options options;
        options.deadline = loop_now() + status_write_timeout;
        auto const connection = this->store.send(
            this->adapter.status_request(
                base.order.service, base.version, status),
            options,
            false,
            [this, alive = std::weak_ptr<bool>(this->lifetime), done](
                call_result const & result)
            {
                if (!alive.expired())
                {
                    done(this->read_write_response(result));
                }
            });
        if (connection)
        {
            return;
        }
        unsent.detail = "no free store connection";
    }
    boost::asio::post(this->state.io,
                      [done, unsent]
                      {
                          done(unsent);
                      });
}

rollout_write_result
replica_sync::read_write_response(call_result const & result)
{
    rollout_write_result read;
    read.detail = result.detail;
    if (result.status != call_status::answered)
    {
        return read;
    }
    auto const era = this->eras.read(result.response);
    auto const status = result.response.result();
    if (!era)
    {
        read.detail = "answer of an earlier era";
        return read;
    }
    if (status == http::status::not_found)
    {
        read.outcome = rollout_write_outcome::absent;
        return read;
    }
    bool const is_conflict = status == http::status::conflict;
    if (!is_conflict && status != http::status::ok)
    {
        read.detail = absl::StrCat("status ", result.response.result_int());
        return read;
    }
    failure reason;
    auto const object = this->adapter.read_object(
        object_kind::rollouts, result.response.body(), *era, reason);
    read.stored =
        object ? this->adapter.read_rollout(*object, reason) : std::nullopt;
    if (!read.stored)
    {
        read.detail = reason.describe();
        return read;
    }
    read.outcome = is_conflict ? rollout_write_outcome::conflict
                               : rollout_write_outcome::written;
    return read;
}

// ---------------------------------------------------------------------------
// restores of the store
// ---------------------------------------------------------------------------

void replica_sync::learn_eras(replica_versions const & versions)
{
    for (auto const & version : versions.kinds)
    {
        this->eras.learn(version.era());
    }
    if (versions.rollouts)
    {
        this->eras.learn(versions.rollouts->era());
    }
    if (auto const era = this->eras.newest(); era != store_era())
    {
        this->state.metrics.set_gauge("store_era",
                                      static_cast<double>(era.value()));
    }
}

void replica_sync::on_era_rise()
{
    this->state.metrics.increment("store_restores");
    this->state.metrics.set_gauge(
        "store_era", static_cast<double>(this->eras.newest().value()));
    this->session.resynchronize();
}

/// @brief whether a reply contains positions that never take the place of
/// those of this node, e.g. of an earlier version, which knows no eras
bool replica_sync::follows_earlier_history(replica_exchange const & reply) const
{
    auto const is_earlier = [this](object_changes const & changes)
    {
        return changes.version > object_version() &&
               changes.version.era() < this->eras.newest();
    };
    return std::any_of(reply.kinds.begin(), reply.kinds.end(), is_earlier) ||
           (reply.rollouts && is_earlier(*reply.rollouts));
}

// ---------------------------------------------------------------------------
// selection of the replication source
// ---------------------------------------------------------------------------

void replica_sync::start_source_selection()
{
    if (!this->selecting_source)
    {
        this->selecting_source = true;
        this->update_source();
    }
}

void replica_sync::query_seeds()
{
    for (auto const & seed : this->state.settings.seeds)
    {
        if (seed == this->state.settings.report_listener)
        {
            continue;
        }
        this->request_changes(
            seed,
            [this, seed](pull_response const & response)
            {
                std::string detail;
                if (!this->apply_pull_response(response, detail))
                {
                    this->mark_failed(seed, detail);
                }
                else if (this->state.fleet.configuration())
                {
                    this->start_source_selection();
                }
            });
    }
}

void replica_sync::update_source()
{
    // first, so that an exception does not end the checks
    this->arm_source_timer(source_check_interval);
    auto const selected = this->select_source();
    if (selected.peer)
    {
        if (!this->pulling)
        {
            this->pull(*selected.peer, true);
        }
    }
    else if (this->awaits_source() ||
             !(selected.may_call_store || this->is_isolated()))
    {
        this->session.stop();
        if (!this->pulling)
        {
            this->pull_from_random_node();
        }
    }
    else
    {
        this->session.start();
        if (this->session.is_connected())
        {
            this->remove_unreachable_entry();
            this->remove_restored_departures();
        }
        if ((!this->session.is_connected() ||
             this->needs_configuration_check()) &&
            !this->pulling)
        {
            this->pull_from_random_node();
        }
    }
    auto const interval = this->awaits_source() ? starting_source_exclusion
                                                : source_check_interval;
    this->arm_source_timer(std::chrono::duration_cast<duration>(
        interval * (0.75 + this->state.random() / 2)));
}

void replica_sync::arm_source_timer(duration delay)
{
    this->source_timer.expires_after(delay);
    this->source_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->update_source();
            }
        });
}

bool replica_sync::is_first_start() const
{
    return this->state.settings.first_start &&
           loop_now() - this->started_at < first_start_duration;
}

bool replica_sync::is_isolated() const
{
    return loop_now() - this->last_pull_response > max_pull_response_age;
}

bool replica_sync::awaits_source() const
{
    bool const can_wait = this->state.fleet.configuration() != nullptr ||
                          this->state.settings.first_start;
    return can_wait && loop_now() - this->started_at < fleet_start_duration &&
           !this->failed_until.empty();
}

replication_source replica_sync::select_source() const
{
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
    // a fleet that starts for the first time writes its entries one by one, and
    // nodes that know few of them would all call the store
    bool const entries_incomplete = this->is_first_start() && !seeds.empty();
    return choose_replication_source(this->state.settings.node,
                                     entries_incomplete
                                         ? std::vector<replication_candidate>{}
                                         : this->candidates(),
                                     seeds);
}

std::vector<replication_candidate> replica_sync::candidates() const
{
    std::vector<replication_candidate> result;
    for (auto const * const entry :
         this->state.fleet.targets_in(this->state.settings.domain))
    {
        if (entry->node != this->state.settings.node)
        {
            result.push_back(
                {entry->node, entry->peer, this->has_failed(entry->peer)});
        }
    }
    return result;
}

bool replica_sync::has_failed(endpoint const & peer) const
{
    auto const found = this->failed_until.find(peer);
    return found != this->failed_until.end() && loop_now() < found->second;
}

void replica_sync::mark_failed(endpoint const & peer,
                               std::string const & reason)
{
    auto const now = loop_now();
    absl::erase_if(this->failed_until,
                   [now](auto const & entry)
                   {
                       return entry.second <= now;
                   });
    bool const fleet_may_start = now - this->started_at < fleet_start_duration;
    this->failed_until[peer] =
        now +
        (fleet_may_start ? starting_source_exclusion : failed_source_exclusion);
    this->state.log.write("replica_source_failed",
                          {{"peer", peer.to_string()}, {"reason", reason}});
}

void replica_sync::pull(endpoint const & peer, bool from_source)
{
    this->pulling = true;
    this->request_changes(peer,
                          [this, from_source](pull_response const & response)
                          {
                              this->pulling = false;
                              this->has_pulled = true;
                              this->on_pull_response(response, from_source);
                              this->pull_announced();
                          });
}

void replica_sync::request_changes(
    endpoint const & peer, std::function<void(pull_response const &)> done)
{
    auto const & texts = this->replica.configuration_texts();
    pull_response response;
    response.peer = peer;
    response.sent = boot_clock::now();
    response.held_text = texts.newest();
    this->state.peer(peer).transfer(
        replica_exchange::write_request(this->replica.versions(),
                                        texts.newest_digest()),
        pull_timeout,
        [response = std::move(response),
         done = std::move(done)](call_result result) mutable
        {
            response.result = std::move(result);
            done(response);
        });
}

void replica_sync::on_pull_response(pull_response const & response,
                                    bool from_source)
{
    auto const & peer = response.peer;
    std::string detail;
    auto const reply = this->apply_pull_response(response, detail);
    if (!reply)
    {
        if (from_source)
        {
            this->mark_failed(peer, detail);
            this->update_source();
        }
        else
        {
            this->state.log.write(
                "replica_pull_failed",
                {{"peer", peer.to_string()}, {"reason", detail}});
        }
        return;
    }
    if (!from_source)
    {
        return;
    }
    if (auto const * const fault = this->source_fault(*reply))
    {
        this->handle_source_fault(peer, fault);
        return;
    }
    this->source_rechecked = false;
    this->source_contact_until = loop_now() + contact_validity;
    this->session.stop();
}

char const * replica_sync::source_fault(replica_exchange const & reply) const
{
    if (!reply.in_contact || reply.age > max_contact_age)
    {
        return "source has no recent contact to the store";
    }
    return this->follows_earlier_history(reply)
               ? "source states no or an earlier era"
               : nullptr;
}

void replica_sync::handle_source_fault(endpoint const & peer,
                                       char const * fault)
{
    // otherwise each node that pulls in this moment would call the store as
    // well
    bool const was_in_contact = loop_now() < this->source_contact_until;
    if (was_in_contact && !std::exchange(this->source_rechecked, true))
    {
        this->arm_source_timer(lost_source_recheck_delay);
        return;
    }
    this->source_rechecked = false;
    this->mark_failed(peer, fault);
    this->update_source();
}

std::optional<replica_exchange>
replica_sync::apply_pull_response(pull_response const & response,
                                  std::string & detail)
{
    auto const & peer = response.peer;
    auto const & result = response.result;
    failure reason;
    reason.detail = result.detail;
    auto reply = result.status == call_status::answered &&
                         result.response.result() == http::status::ok
                     ? replica_exchange::read(
                           result.response.body(), response.held_text, reason)
                     : std::nullopt;
    detail = reason.detail;
    if (!reply)
    {
        return std::nullopt;
    }
    this->handle_deferral(*reply);
    if (!this->follows_earlier_history(*reply))
    {
        // the changes of an earlier history are ignored, so that a node which
        // receives no others is isolated
        this->last_pull_response = loop_now();
        this->last_store_response = std::max(
            this->last_store_response, this->last_pull_response - reply->age);
    }
    for (std::size_t i = 0; i < reply->kinds.size(); ++i)
    {
        // a configuration counts at any position
        if (reply->kinds[i].version > object_version() ||
            !reply->kinds[i].objects.empty())
        {
            this->replica.apply(static_cast<object_kind>(i),
                                reply->kinds[i],
                                {peer.to_string(), result});
        }
    }
    this->record_configuration_age(*reply, response.sent);
    if (this->follows_rollouts() && reply->rollouts &&
        reply->rollouts->version > object_version())
    {
        this->replica.apply(object_kind::rollouts,
                            *reply->rollouts,
                            {peer.to_string(), result});
    }
    return reply;
}

void replica_sync::record_deferral(replica_exchange const & reply)
{
    for (std::size_t i = 0; i < reply.kinds.size(); ++i)
    {
        // a node without the changes sends neither
        bool const has_changes = reply.kinds[i].version > object_version();
        this->deferred_kinds[i] =
            reply.deferred[i] || (this->deferred_kinds[i] && !has_changes);
    }
    auto & rollouts =
        this->deferred_kinds[static_cast<std::size_t>(object_kind::rollouts)];
    rollouts = this->follows_rollouts() &&
               (reply.rollouts_deferred || (rollouts && !reply.rollouts));
}

void replica_sync::handle_deferral(replica_exchange const & reply)
{
    this->record_deferral(reply);
    auto const & kinds = this->deferred_kinds;
    if (std::find(kinds.begin(), kinds.end(), true) == kinds.end())
    {
        this->deferred_since.reset();
        return;
    }
    auto const now = loop_now();
    this->deferred_since = this->deferred_since.value_or(now);
    if (now - *this->deferred_since >= max_deferral)
    {
        this->deferred_since.reset();
        this->snapshot.read(std::exchange(this->deferred_kinds, {}),
                            read_freshness::current,
                            [] {});
        return;
    }
    this->deferral_timer.expires_after(std::chrono::duration_cast<duration>(
        deferral_delay * (0.5 + this->state.random())));
    this->deferral_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error && !this->pulling)
            {
                this->pull_from_holder();
            }
        });
}

void replica_sync::pull_announced()
{
    auto const latest = std::exchange(this->announced, std::nullopt);
    if (latest && !this->pulling && this->may_pull_for(latest->versions))
    {
        this->pull(latest->peer, false);
    }
}

void replica_sync::notify_followers()
{
    for (auto const & follower :
         relay_children(this->state.settings.node, this->candidates()))
    {
        this->state.peer(follower).call(
            version_notice::write_request(this->state.own_sender),
            pull_timeout,
            [](call_result const &)
            {
                // one that missed it learns of the change with its next pull
            });
    }
}

void replica_sync::receive_peer_versions(endpoint const & peer,
                                         replica_versions const & versions)
{
    if (this->pulling)
    {
        if (versions.is_newer_than(this->state.own_sender.versions) &&
            this->is_in_local_domain(peer))
        {
            this->announced = announcement{peer, versions};
        }
        return;
    }
    if (!this->may_pull_for(versions))
    {
        return;
    }
    if (this->is_in_local_domain(peer))
    {
        this->pull(peer, false);
        return;
    }
    if (this->remote_pull_pending)
    {
        return;
    }
    this->remote_pull_pending = true;
    this->remote_pull_timer.expires_after(remote_domain_pull_delay);
    this->remote_pull_timer.async_wait(
        [this, peer, versions](boost::system::error_code error)
        {
            this->remote_pull_pending = false;
            if (!error && !this->pulling &&
                versions.is_newer_than(this->replica.versions()))
            {
                this->pull(peer, false);
            }
        });
}

void replica_sync::pull_from_holder()
{
    if (auto const latest = std::exchange(this->announced, std::nullopt))
    {
        this->pull(latest->peer, false);
        return;
    }
    auto nodes = this->candidates();
    nodes.erase(std::remove_if(nodes.begin(),
                               nodes.end(),
                               [](auto const & node)
                               {
                                   return node.failed;
                               }),
                nodes.end());
    if (nodes.empty())
    {
        this->pull_from_random_node();
        return;
    }
    auto const selected = static_cast<std::size_t>(
        this->state.random() * static_cast<double>(nodes.size()));
    this->pull(nodes[selected].peer, false);
}

void replica_sync::pull_from_random_node()
{
    auto const nodes =
        this->state.fleet.targets_except(this->state.settings.node);
    if (nodes.empty())
    {
        return;
    }
    auto const selected = static_cast<std::size_t>(
        this->state.random() * static_cast<double>(nodes.size()));
    this->pull(nodes[selected]->peer, false);
}

void replica_sync::remove_unreachable_entry()
{
    for (auto const * const entry :
         this->state.fleet.targets_in(this->state.settings.domain))
    {
        auto const * const stored_object =
            this->replica.find_target(entry->node);
        if (entry->node == this->state.settings.node ||
            stored_object == nullptr ||
            stored_object->version.era() < this->eras.newest() ||
            this->state.peer(entry->peer).unreachable_duration() <
                unreachable_removal_age)
        {
            continue;
        }
        this->state.log.write("entry_removed",
                              {{"node", entry->node.value()},
                               {"target", entry->id.value()},
                               {"peer", entry->peer.to_string()}});
        this->remove_entry(entry->node, stored_object->version);
        return;
    }
}

void replica_sync::remove_restored_departures()
{
    std::size_t removals = 0;
    for (auto const * const object : this->replica.departures_to_remove(
             this->state.settings.domain, loop_now()))
    {
        if (removals == max_removals_per_round ||
            object->version.era() < this->eras.newest())
        {
            return;
        }
        removals += 1;
        this->state.log.write(
            "restored_entry_removed",
            {{"node", object->name},
             {"version", absl::StrCat(object->version.value())}});
        this->remove_entry(node_name(object->name), object->version);
    }
}

void replica_sync::remove_entry(node_name const & node, object_version expected)
{
    call_options options;
    options.deadline = loop_now() + pull_timeout;
    // a node that is still alive writes its entry again
    static_cast<void>(this->store.send(
        this->adapter.remove_request(node, expected),
        options,
        false,
        [this](call_result const & result)
        {
            // a successful removal arrives through the watch
            if (result.status != call_status::answered)
            {
                this->state.log.write("entry_not_removed",
                                      {{"reason", result.detail}});
            }
        }));
}

bool replica_sync::needs_configuration_check() const
{
    return !this->has_pulled || this->may_miss_lost_configuration() ||
           this->newest_requester_configuration >
               this->replica.versions().configuration_version;
}

bool replica_sync::may_pull_for(replica_versions const & versions)
{
    auto const & own = this->state.own_sender.versions;
    auto positions = versions;
    positions.configuration_version = 0;
    if (positions.is_newer_than(own))
    {
        return true;
    }
    auto const now = loop_now();
    if (!versions.is_newer_than(own) || now < this->next_configuration_pull)
    {
        return false;
    }
    this->next_configuration_pull = now + configuration_pull_interval;
    return true;
}

void replica_sync::arm_settle_timer()
{
    auto const time = this->replica.next_settle_time();
    if (!time)
    {
        this->settle_timer.cancel();
        return;
    }
    this->settle_timer.expires_at(std::chrono::steady_clock::time_point(*time));
    this->settle_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->settle();
            }
        });
}

void replica_sync::settle()
{
    if (this->settle_pull_pending)
    {
        return;
    }
    auto const source = this->select_source().peer;
    auto const finish = [this]
    {
        this->settle_pull_pending = false;
        this->replica.settle(loop_now());
        this->arm_settle_timer();
    };
    if (this->session.is_active() || !source)
    {
        finish();
        return;
    }
    this->settle_pull_pending = true;
    // the operator may have repeated a change that the next regular pull would
    // bring only after the settle time
    this->request_changes(
        *source,
        [this, finish](pull_response const & response)
        {
            std::string detail;
            if (!this->apply_pull_response(response, detail))
            {
                this->state.log.write(
                    "replica_source_failed",
                    {{"peer", response.peer.to_string()}, {"reason", detail}});
            }
            finish();
        });
}

bool replica_sync::follows_rollouts() const
{
    return this->state.settings.rollouts.has_value();
}

bool replica_sync::has_store_contact() const
{
    return this->session.is_active() ? this->session.is_connected()
                                     : loop_now() < this->source_contact_until;
}

bool replica_sync::is_in_local_domain(endpoint const & peer) const
{
    auto const local_entries =
        this->state.fleet.targets_in(this->state.settings.domain);
    return std::any_of(local_entries.begin(),
                       local_entries.end(),
                       [&peer](auto const * entry)
                       {
                           return entry->peer == peer;
                       });
}

void replica_sync::report_processing(copy_source const & source)
{
    // the event loop serves nothing else until the posted handler runs
    boost::asio::post(
        this->state.io,
        [this,
         alive = std::weak_ptr<bool>(this->lifetime),
         received = source.received,
         version = this->state.fleet.configuration()->version]
        {
            if (alive.expired())
            {
                return;
            }
            auto const elapsed = loop_now() - received;
            this->state.log.write(
                "configuration_processed",
                {{"version", absl::StrCat(version)},
                 {"processing_ms", format_milliseconds(elapsed)}});
            this->state.metrics.set_gauge("configuration_processing_seconds",
                                          to_milliseconds(elapsed) / 1000);
            this->notify_followers();
        });
    this->state.metrics.set_gauge("configuration_transfer_seconds",
                                  to_milliseconds(source.transfer) / 1000);
}

// ---------------------------------------------------------------------------
// age of the configuration
// ---------------------------------------------------------------------------

void replica_sync::record_configuration_age(replica_exchange const & reply,
                                            boot_time sent)
{
    bool const is_deferred =
        reply.deferred[static_cast<std::size_t>(object_kind::configuration)];
    // an earlier version, or a node without accounts, states its contact only
    auto const age = reply.states_configuration_age || !reply.in_contact
                         ? reply.configuration_age
                         : std::optional(reply.age);
    if (is_deferred || !age || this->follows_earlier_history(reply))
    {
        return;
    }
    bool const was_unconfirmed = !this->configuration_age();
    this->has_confirmed_reply = true;
    this->freshness.record_peer(sent, *age);
    this->report_confirmation(was_unconfirmed);
}

void replica_sync::report_confirmation(bool was_unconfirmed)
{
    if (was_unconfirmed && this->configuration_age())
    {
        this->state.notify_configuration();
    }
}

bool replica_sync::may_miss_lost_configuration() const
{
    return this->eras.newest() > first_era && !this->has_confirmed_reply &&
           loop_now() - this->started_at < lost_configuration_wait;
}

std::optional<duration> replica_sync::configuration_age() const
{
    return this->may_miss_lost_configuration()
               ? std::nullopt
               : this->freshness.age(boot_clock::now());
}

bool replica_sync::is_configuration_confirmed() const
{
    return this->configuration_age().has_value() ||
           loop_now() - this->started_at > max_confirmation_wait;
}

duration replica_sync::contact_age() const
{
    return loop_now() - std::max(this->last_store_response,
                                 this->session.last_response_time());
}

} // namespace endivehinge::detail
