#include <endivehinge/detail/gateway/peer_node.hpp>

#include <algorithm> // max, min
#include <utility>   // exchange, move

#include <absl/strings/str_cat.h> // StrCat
#include <boost/asio/post.hpp>    // post

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace
{

// covers several round trips between failure domains
constexpr duration connect_timeout = std::chrono::milliseconds(150);
// extends the request deadline, so that the other node's own response at the
// deadline arrives first
constexpr duration deadline_grace = std::chrono::milliseconds(60);
// shorter than the idle timeout of peer listeners, which must not close a
// connection that is about to be reused
constexpr duration idle_timeout = std::chrono::seconds(10);
// delay before an unreachable node is checked; doubles with each failed check
constexpr duration initial_check_delay = std::chrono::milliseconds(150);
constexpr std::uint32_t max_check_doublings = 3;
// covers several round trips between failure domains
constexpr duration check_response_timeout = std::chrono::milliseconds(250);
// in-flight requests per status query; limits the query's length
constexpr std::size_t max_query_requests = 64;
// time without a response from a node after which its in-flight requests are
// queried
constexpr duration silence_limit = std::chrono::milliseconds(200);
// time for the response to arrive after the node stated that the request is
// completed, equal to two silence limits; then its connection may have failed
constexpr duration response_arrival_limit = 2 * silence_limit;
// concurrent requests to one node; limits file descriptors
constexpr std::size_t max_peer_connections = 256;
// a target's header plus the fields that the node beside it adds
constexpr std::uint32_t max_peer_header_bytes = 32768;
// how long an entry is taken to be out of date after its address stated so; the
// store removes it within this time
constexpr duration disproved_time = std::chrono::seconds(60);
// bounds memory; an address rarely has more than one earlier target
constexpr std::size_t max_disproved_targets = 16;
// weight of the latest outcome in the moving average of failures
constexpr double failure_share_weight = 0.1;

upstream_options peer_options(response_registry & responses,
                              connection_counter & all_peer_connections)
{
    upstream_options options;
    options.counter = &all_peer_connections;
    options.max_header_bytes = max_peer_header_bytes;
    options.responses = &responses;
    options.idle_timeout = idle_timeout;
    options.max_connections = max_peer_connections;
    return options;
}

call_options options_of(duration timeout)
{
    call_options options;
    options.deadline = loop_now() + timeout;
    return options;
}

} // namespace

peer_node::peer_node(boost::asio::io_context & loop,
                     endpoint const & address,
                     hop_sender const & self,
                     versions_handler on_versions,
                     event_log & log,
                     response_registry & responses,
                     connection_counter & all_peer_connections)
    : io(loop)
    , peer(address)
    , sender(self)
    , connections(loop, address, peer_options(responses, all_peer_connections))
    , versions_callback(std::move(on_versions))
    , events(log)
    , check_timer(loop)
    , watchdog_timer(loop)
{
}

target_runner::control peer_node::run(dispatch_request request,
                                      result_handler done,
                                      silence_handler on_silence)
{
    auto const sequence = ++this->last_sequence;
    request.in_flight_id = this->in_flight_id_of(sequence);
    if (this->last_load)
    {
        request.stated_rate = this->last_load->stated_rate;
    }
    write_hop_request(request, this->sender, loop_now());
    request.message.version(11);
    request.message.keep_alive(true);
    request.message.prepare_payload();
    call_options options;
    options.deadline = request.urgency.deadline + deadline_grace;
    options.connect_timeout = connect_timeout;
    this->sent_since_load += 1;
    auto & entry = this->in_flight_requests[sequence];
    entry.sent_at = loop_now();
    entry.on_silence = std::move(on_silence);
    entry.finish = [this, target = request.target, done = std::move(done)](
                       call_result result)
    {
        auto const status = result.status;
        auto parsed = this->read_result(std::move(result));
        this->record_result(parsed, status);
        if (parsed.refusal == admission_refusal::other_incarnation)
        {
            this->disprove(target);
        }
        done(std::move(parsed));
    };
    entry.connection = this->connections.send(
        std::move(request.message),
        options,
        false,
        [this, sequence](call_result result)
        {
            this->complete_request(sequence, std::move(result));
        });
    if (!entry.connection)
    {
        boost::asio::post(this->io,
                          [this, sequence]
                          {
                              call_result result;
                              result.status = call_status::no_connection;
                              result.detail = "connection limit reached";
                              this->complete_request(sequence,
                                                     std::move(result));
                          });
    }
    this->arm_watchdog();
    auto const cancel = [this, sequence]
    {
        auto const found = this->in_flight_requests.find(sequence);
        if (found == this->in_flight_requests.end())
        {
            return;
        }
        if (found->second.connection)
        {
            found->second.connection->cancel();
        }
        this->in_flight_requests.erase(found);
    };
    return {cancel,
            []
            {
                return false;
            }};
}

void peer_node::complete_request(std::uint64_t sequence, call_result result)
{
    auto const found = this->in_flight_requests.find(sequence);
    if (found == this->in_flight_requests.end())
    {
        return;
    }
    auto const finish = std::move(found->second.finish);
    this->in_flight_requests.erase(found);
    finish(std::move(result));
}

// ---------------------------------------------------------------------------
// reachability of the node
// ---------------------------------------------------------------------------

void peer_node::suspend(std::string const & reason)
{
    if (!this->suspended)
    {
        this->suspended = true;
        this->suspended_since = loop_now();
        this->failed_checks = 0;
        this->events.write(
            "peer_lost",
            {{"peer", this->peer.to_string()}, {"reason", reason}});
        this->connections.close_idle();
    }
    this->schedule_check();
}

void peer_node::schedule_check()
{
    if (this->check_scheduled)
    {
        return;
    }
    this->check_scheduled = true;
    auto const delay =
        initial_check_delay *
        (1U << std::min(this->failed_checks, max_check_doublings));
    this->check_timer.expires_after(delay);
    this->check_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->send_check();
            }
        });
}

void peer_node::send_check()
{
    this->call_on_new_connection(
        in_flight_query::write_request({}, duration(0)),
        check_response_timeout,
        [this](call_result const & result)
        {
            this->check_scheduled = false;
            if (result.status == call_status::answered)
            {
                this->suspended = false;
                this->last_received = loop_now();
                this->events.write("peer_regained",
                                   {{"peer", this->peer.to_string()}});
                this->arm_watchdog();
                return;
            }
            this->failed_checks += 1;
            this->suspend(result.detail);
        });
}

void peer_node::arm_watchdog()
{
    if (this->watchdog_armed || this->in_flight_requests.empty())
    {
        return;
    }
    this->watchdog_armed = true;
    this->watchdog_timer.expires_after(silence_limit);
    this->watchdog_timer.async_wait(
        [this](boost::system::error_code error)
        {
            this->watchdog_armed = false;
            if (!error)
            {
                this->handle_watchdog();
            }
        });
}

void peer_node::handle_watchdog()
{
    if (this->in_flight_requests.empty())
    {
        return;
    }
    if (this->suspended)
    {
        this->notify_silence_of_all();
        this->arm_watchdog();
        return;
    }
    auto const oldest = this->in_flight_requests.begin()->second.sent_at;
    if (loop_now() - std::max(this->last_received, oldest) < silence_limit)
    {
        this->arm_watchdog();
        return;
    }
    this->query_in_flight_requests();
}

void peer_node::notify_silence_of_all()
{
    std::vector<std::uint64_t> silent_sequences;
    for (auto const & [sequence, entry] : this->in_flight_requests)
    {
        if (loop_now() - entry.sent_at >= silence_limit)
        {
            silent_sequences.push_back(sequence);
        }
    }
    for (auto const sequence : silent_sequences)
    {
        this->notify_silence(sequence);
    }
}

void peer_node::query_in_flight_requests()
{
    std::vector<std::uint64_t> queried_sequences;
    std::vector<std::string> in_flight_ids;
    for (auto const & [sequence, entry] : this->in_flight_requests)
    {
        if (loop_now() - entry.sent_at >= silence_limit &&
            queried_sequences.size() < max_query_requests)
        {
            queried_sequences.push_back(sequence);
            in_flight_ids.push_back(this->in_flight_id_of(sequence));
        }
    }
    this->call_on_new_connection(
        in_flight_query::write_request(
            in_flight_ids,
            loop_now() - this->in_flight_requests.begin()->second.sent_at),
        check_response_timeout,
        [this, queried_sequences](call_result const & result)
        {
            this->handle_query_result(queried_sequences, result);
        });
}

void peer_node::handle_query_result(
    std::vector<std::uint64_t> const & queried_sequences,
    call_result const & result)
{
    if (result.status == call_status::no_connection)
    {
        this->arm_watchdog();
        return;
    }
    auto const states =
        result.status == call_status::answered
            ? in_flight_query::read(result.response, queried_sequences.size())
            : std::nullopt;
    if (!states)
    {
        this->suspend("no response to status query: " + result.detail);
        for (auto const sequence : queried_sequences)
        {
            this->notify_silence(sequence);
        }
        return;
    }
    this->last_received = loop_now();
    for (std::size_t i = 0; i < queried_sequences.size(); ++i)
    {
        auto const found = this->in_flight_requests.find(queried_sequences[i]);
        if (found == this->in_flight_requests.end() ||
            states->at(i) == in_flight_request_state::in_progress)
        {
            continue;
        }
        bool const fenced = states->at(i) == in_flight_request_state::fenced;
        if (fenced || !found->second.completed_at)
        {
            this->events.write(
                "connection_silent",
                {{"peer", this->peer.to_string()},
                 {"flight", this->in_flight_id_of(queried_sequences[i])},
                 {"request", fenced ? "not received" : "completed"}});
        }
        if (fenced)
        {
            // the node will refuse the request if it still arrives
            dispatch_result refused;
            refused.reason = "never_came";
            call_result refusal;
            refusal.status = call_status::answered;
            refusal.response = write_hop_result(refused, this->sender.versions);
            found->second.connection->cancel();
            this->complete_request(queried_sequences[i], std::move(refusal));
        }
        else
        {
            this->handle_completed_request(queried_sequences[i]);
        }
    }
    this->arm_watchdog();
}

void peer_node::notify_silence(std::uint64_t sequence)
{
    auto const found = this->in_flight_requests.find(sequence);
    if (found == this->in_flight_requests.end())
    {
        return;
    }
    if (auto const on_silence =
            std::exchange(found->second.on_silence, nullptr))
    {
        this->record_failure_share(true);
        on_silence();
    }
}

void peer_node::handle_completed_request(std::uint64_t sequence)
{
    auto & entry = this->in_flight_requests.at(sequence);
    if (!entry.completed_at)
    {
        // the response may be right behind that of the query
        entry.completed_at = loop_now();
        return;
    }
    if (loop_now() - *entry.completed_at >= response_arrival_limit)
    {
        this->notify_silence(sequence);
    }
}

std::string peer_node::in_flight_id_of(std::uint64_t sequence) const
{
    return absl::StrCat(this->sender.incarnation_id, "-", sequence);
}

void peer_node::call(request_message message,
                     duration timeout,
                     client_connection::result_handler done)
{
    this->send(std::move(message), options_of(timeout), false, std::move(done));
}

void peer_node::transfer(request_message message,
                         duration limit,
                         client_connection::result_handler done)
{
    auto options = options_of(limit);
    options.progress_limit = limit;
    this->send(std::move(message), options, false, std::move(done));
}

void peer_node::call_on_new_connection(request_message message,
                                       duration timeout,
                                       client_connection::result_handler done)
{
    this->send(std::move(message), options_of(timeout), true, std::move(done));
}

void peer_node::send(request_message message,
                     call_options options,
                     bool force_new,
                     client_connection::result_handler done)
{
    options.connect_timeout = connect_timeout;
    if (this->connections.send(std::move(message), options, force_new, done))
    {
        return;
    }
    boost::asio::post(this->io,
                      [done = std::move(done)]
                      {
                          call_result result;
                          result.status = call_status::no_connection;
                          result.detail = "connection limit reached";
                          done(std::move(result));
                      });
}

dispatch_result peer_node::read_result(call_result result)
{
    dispatch_result parsed;
    if (result.status == call_status::answered)
    {
        replica_versions versions;
        if (auto found = read_hop_result(std::move(result.response), versions))
        {
            this->versions_callback(this->peer, versions);
            return std::move(*found);
        }
        parsed.outcome = dispatch_outcome::indeterminate;
        parsed.reason = "response without valid hop fields";
        return parsed;
    }
    bool const sent = result.status != call_status::not_sent &&
                      result.status != call_status::no_connection;
    parsed.outcome =
        sent ? dispatch_outcome::indeterminate : dispatch_outcome::refused;
    parsed.reached_target = sent;
    parsed.reason = "peer " + this->peer.to_string() + ": " + result.detail;
    return parsed;
}

void peer_node::disprove(target_id const & target)
{
    auto const now = loop_now();
    absl::erase_if(this->disproved_targets,
                   [now](auto const & entry)
                   {
                       return entry.second <= now;
                   });
    bool const is_new = !this->disproved_targets.contains(target);
    if (is_new && this->disproved_targets.size() >= max_disproved_targets)
    {
        return;
    }
    this->disproved_targets[target] = now + disproved_time;
    if (is_new)
    {
        this->events.write(
            "entry_disproved",
            {{"target", target.value()}, {"peer", this->peer.to_string()}});
    }
}

bool peer_node::has_disproved(target_id const & target) const
{
    auto const found = this->disproved_targets.find(target);
    return found != this->disproved_targets.end() && loop_now() < found->second;
}

void peer_node::record_result(dispatch_result const & result,
                              call_status status)
{
    if (status == call_status::no_connection)
    {
        // says nothing about the node
        return;
    }
    if (status == call_status::not_sent)
    {
        this->suspend(result.reason);
        return;
    }
    if (status == call_status::answered)
    {
        this->last_received = loop_now();
        this->suspended = false;
        this->arm_watchdog();
    }
    if (result.load)
    {
        this->last_load = result.load;
        this->load_received = loop_now();
        this->sent_since_load = 0;
    }
    bool const failed =
        result.outcome == dispatch_outcome::indeterminate ||
        (result.outcome == dispatch_outcome::refused && result.reached_target);
    this->record_failure_share(failed);
}

void peer_node::record_failure_share(bool failed)
{
    this->recent_failure_share +=
        failure_share_weight *
        ((failed ? 1.0 : 0.0) - this->recent_failure_share);
}

bool peer_node::is_suspended() const
{
    return this->suspended;
}

duration peer_node::unreachable_duration() const
{
    return this->suspended ? loop_now() - this->suspended_since : duration(0);
}

std::optional<target_load> const & peer_node::load() const
{
    return this->last_load;
}

time_point peer_node::load_time() const
{
    return this->load_received;
}

std::uint32_t peer_node::requests_since_load() const
{
    return this->sent_since_load;
}

double peer_node::failure_share() const
{
    return this->recent_failure_share;
}

} // namespace endivehinge::detail
