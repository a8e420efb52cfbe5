#include <endivehinge/detail/gateway/peer_node.hpp>

#include <algorithm> // max, min

#include <absl/strings/str_cat.h> // StrCat
#include <boost/asio/post.hpp>    // post

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace
{

// to connect to another node; several round trips between failure domains
constexpr duration connect_timeout = std::chrono::milliseconds(150);
// lets the other node's own answer at the deadline arrive first
constexpr duration deadline_grace = std::chrono::milliseconds(60);
// nodes keep idle connections of other nodes open for longer than this
constexpr duration idle_timeout = std::chrono::seconds(10);
// an unreachable node is asked again after this time, doubled while it stays
// so
constexpr duration first_check = std::chrono::milliseconds(150);
constexpr std::uint32_t largest_doubling = 3;
// for a node to answer a check; several round trips between failure domains
constexpr duration check_timeout = std::chrono::milliseconds(250);
// requests asked for at once; bounds the length of the question
constexpr std::size_t largest_query = 64;
// a node from which nothing came for this long is checked
constexpr duration silence = std::chrono::milliseconds(200);
// a response that left the other node arrives within this time, or its
// connection is silent: two checks
constexpr duration answer_time = 2 * silence;
// requests to one node at once; bounds descriptors
constexpr std::size_t largest_connections = 256;
// weight of the newest outcome in the share of failures
constexpr double failure_weight = 0.1;

upstream_options options_of_peer()
{
    upstream_options options;
    options.idle_timeout = idle_timeout;
    options.connections = largest_connections;
    return options;
}

} // namespace

peer_node::peer_node(boost::asio::io_context & loop,
                     endpoint const & address,
                     hop_sender const & self,
                     versions_handler on_versions,
                     event_log & log)
    : io(loop)
    , peer(address)
    , sender(self)
    , connections(loop, address, options_of_peer())
    , versions_action(std::move(on_versions))
    , events(log)
    , check_timer(loop)
    , watchdog_timer(loop)
{
}

target_runner::cancel_action peer_node::run(dispatch_request request,
                                            result_handler done)
{
    auto const number = ++this->last_flight;
    request.in_flight_id = this->name_of(number);
    write_hop_request(request, this->sender, loop_now());
    request.message.version(11);
    request.message.keep_alive(true);
    request.message.prepare_payload();
    call_options options;
    options.deadline = request.urgency.deadline + deadline_grace;
    options.connect_timeout = connect_timeout;
    this->sent += 1;
    auto & one = this->flights[number];
    one.sent = loop_now();
    one.idempotent = request.idempotent;
    one.finish = [this, done = std::move(done)](call_result result)
    {
        auto const status = result.status;
        auto read = this->read_result(std::move(result));
        this->note(read, status);
        done(std::move(read));
    };
    one.connection =
        this->connections.send(std::move(request.message),
                               options,
                               false,
                               [this, number](call_result result)
                               {
                                   this->land(number, std::move(result));
                               });
    if (!one.connection)
    {
        boost::asio::post(this->io,
                          [this, number]
                          {
                              call_result result;
                              result.detail = "no connection left";
                              this->land(number, std::move(result));
                          });
    }
    this->arm_watchdog();
    return [this, number]
    {
        auto const found = this->flights.find(number);
        if (found == this->flights.end())
        {
            return;
        }
        if (found->second.connection)
        {
            found->second.connection->cancel();
        }
        this->flights.erase(found);
    };
}

void peer_node::land(std::uint64_t number, call_result result)
{
    auto const found = this->flights.find(number);
    if (found == this->flights.end())
    {
        return;
    }
    auto const finish = std::move(found->second.finish);
    this->flights.erase(found);
    finish(std::move(result));
}

// ---------------------------------------------------------------------------
// whether the node can be reached
// ---------------------------------------------------------------------------

void peer_node::suspend(std::string const & why)
{
    if (!this->suspended)
    {
        this->suspended = true;
        this->suspended_since = loop_now();
        this->failed_checks = 0;
        this->events.write("peer_lost",
                           {{"peer", this->peer.to_string()}, {"reason", why}});
        this->connections.close_idle();
    }
    this->check_later();
}

void peer_node::check_later()
{
    if (this->checking)
    {
        return;
    }
    this->checking = true;
    auto const pause =
        first_check * (1U << std::min(this->failed_checks, largest_doubling));
    this->check_timer.expires_after(pause);
    this->check_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->check();
            }
        });
}

void peer_node::check()
{
    this->call_fresh(in_flight_query::write_request({}),
                     check_timeout,
                     [this](call_result const & result)
                     {
                         this->checking = false;
                         if (result.status == call_status::answered)
                         {
                             this->suspended = false;
                             this->heard = loop_now();
                             this->events.write(
                                 "peer_regained",
                                 {{"peer", this->peer.to_string()}});
                             return;
                         }
                         this->failed_checks += 1;
                         this->suspend(result.detail);
                     });
}

void peer_node::arm_watchdog()
{
    if (this->watching || this->flights.empty())
    {
        return;
    }
    this->watching = true;
    this->watchdog_timer.expires_after(silence);
    this->watchdog_timer.async_wait(
        [this](boost::system::error_code error)
        {
            this->watching = false;
            if (!error)
            {
                this->watchdog();
            }
        });
}

void peer_node::watchdog()
{
    if (this->flights.empty() || this->suspended)
    {
        return;
    }
    auto const oldest = this->flights.begin()->second.sent;
    if (loop_now() - std::max(this->heard, oldest) < silence)
    {
        this->arm_watchdog();
        return;
    }
    this->query_flights();
}

void peer_node::query_flights()
{
    std::vector<std::uint64_t> asked;
    std::vector<std::string> names;
    for (auto const & [number, one] : this->flights)
    {
        if (loop_now() - one.sent >= silence && asked.size() < largest_query)
        {
            asked.push_back(number);
            names.push_back(this->name_of(number));
        }
    }
    this->call_fresh(in_flight_query::write_request(names),
                     check_timeout,
                     [this, asked](call_result const & result)
                     {
                         this->queried(asked, result);
                     });
}

void peer_node::queried(std::vector<std::uint64_t> const & asked,
                        call_result const & result)
{
    auto const states =
        result.status == call_status::answered
            ? in_flight_query::read(result.response, asked.size())
            : std::nullopt;
    if (!states)
    {
        this->suspend("silent: " + result.detail);
        for (auto const number : asked)
        {
            auto const found = this->flights.find(number);
            if (found != this->flights.end() && found->second.idempotent)
            {
                this->lose_flight(number);
            }
        }
        return;
    }
    this->heard = loop_now();
    for (std::size_t i = 0; i < asked.size(); ++i)
    {
        auto const found = this->flights.find(asked[i]);
        if (found == this->flights.end() ||
            states->at(i) == in_flight_request_state::in_progress)
        {
            continue;
        }
        bool const never_came =
            states->at(i) == in_flight_request_state::fenced;
        this->events.write(
            "connection_silent",
            {{"peer", this->peer.to_string()},
             {"flight", this->name_of(asked[i])},
             {"request", never_came ? "never came" : "was answered"}});
        if (never_came)
        {
            // the node refuses it if it still comes
            dispatch_result refused;
            refused.reason = "never_came";
            call_result known;
            known.status = call_status::answered;
            known.response = write_hop_result(refused, this->sender.versions);
            found->second.connection->cancel();
            this->land(asked[i], std::move(known));
        }
        else if (loop_now() - found->second.sent > answer_time)
        {
            // the response had time to arrive
            this->lose_flight(asked[i]);
        }
    }
    this->arm_watchdog();
}

void peer_node::lose_flight(std::uint64_t number)
{
    auto const found = this->flights.find(number);
    if (found == this->flights.end() || !found->second.connection)
    {
        return;
    }
    found->second.connection->cancel();
    call_result silent;
    silent.status = call_status::lost;
    silent.detail = "the connection is silent";
    this->land(number, std::move(silent));
}

std::string peer_node::name_of(std::uint64_t number) const
{
    return absl::StrCat(this->sender.incarnation_id, "-", number);
}

void peer_node::call(request_message message,
                     duration timeout,
                     client_connection::result_handler done)
{
    this->send(std::move(message), timeout, false, std::move(done));
}

void peer_node::call_fresh(request_message message,
                           duration timeout,
                           client_connection::result_handler done)
{
    this->send(std::move(message), timeout, true, std::move(done));
}

void peer_node::send(request_message message,
                     duration timeout,
                     bool fresh,
                     client_connection::result_handler done)
{
    call_options options;
    options.deadline = loop_now() + timeout;
    options.connect_timeout = connect_timeout;
    if (this->connections.send(std::move(message), options, fresh, done))
    {
        return;
    }
    boost::asio::post(this->io,
                      [done = std::move(done)]
                      {
                          call_result result;
                          result.detail = "no connection left";
                          done(std::move(result));
                      });
}

dispatch_result peer_node::read_result(call_result result)
{
    dispatch_result read;
    if (result.status == call_status::answered)
    {
        replica_versions versions;
        if (auto found = read_hop_result(std::move(result.response), versions))
        {
            this->versions_action(this->peer, versions);
            return std::move(*found);
        }
        read.outcome = dispatch_outcome::indeterminate;
        read.reason = "response of no node";
        return read;
    }
    read.outcome = result.status == call_status::not_sent
                       ? dispatch_outcome::refused
                       : dispatch_outcome::indeterminate;
    read.reached_target = result.status != call_status::not_sent;
    read.reason = "peer " + this->peer.to_string() + ": " + result.detail;
    return read;
}

void peer_node::note(dispatch_result const & result, call_status status)
{
    if (status == call_status::not_sent)
    {
        this->suspend(result.reason);
        return;
    }
    if (status == call_status::answered)
    {
        this->heard = loop_now();
        this->suspended = false;
    }
    if (result.load)
    {
        this->last_load = result.load;
        this->load_heard = loop_now();
        this->sent = 0;
    }
    bool const failed =
        result.outcome == dispatch_outcome::indeterminate ||
        (result.outcome == dispatch_outcome::refused && result.reached_target);
    this->failures += failure_weight * ((failed ? 1.0 : 0.0) - this->failures);
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
    return this->load_heard;
}

std::uint32_t peer_node::sent_since() const
{
    return this->sent;
}

double peer_node::failure_share() const
{
    return this->failures;
}

} // namespace endivehinge::detail
