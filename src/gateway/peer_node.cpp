#include <endivehinge/detail/gateway/peer_node.hpp>

#include <algorithm> // min

#include <boost/asio/post.hpp> // post

#include <endivehinge/detail/gateway/hop_fields.hpp>

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
// an unreachable node is left out for this long, doubled while it stays so
constexpr duration first_suspension = std::chrono::milliseconds(250);
constexpr std::uint32_t largest_doubling = 3;
// weight of the newest outcome in the share of failures
constexpr double failure_weight = 0.1;

upstream_options options_of_peer()
{
    upstream_options options;
    options.idle_timeout = idle_timeout;
    options.connections = 256;
    return options;
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

peer_node::peer_node(boost::asio::io_context & loop,
                     endpoint const & address,
                     hop_sender const & self,
                     versions_handler on_versions)
    : io(loop)
    , peer(address)
    , sender(self)
    , connections(loop, address, options_of_peer())
    , versions_action(std::move(on_versions))
{
}

target_runner::cancel_action peer_node::run(dispatch_request request,
                                            result_handler done)
{
    write_hop_request(request, this->sender, now());
    request.message.version(11);
    request.message.keep_alive(true);
    request.message.prepare_payload();
    call_options options;
    options.deadline = request.urgency.deadline + deadline_grace;
    options.connect_timeout = connect_timeout;
    this->sent += 1;
    this->pending += 1;
    auto const finished = [this, done = std::move(done)](call_result result)
    {
        this->pending -= 1;
        auto const status = result.status;
        auto read = this->read_result(std::move(result));
        this->note(read, status);
        done(std::move(read));
    };
    auto const connection = this->connections.send(
        std::move(request.message), options, false, finished);
    if (!connection)
    {
        auto const cancelled = std::make_shared<bool>(false);
        boost::asio::post(this->io,
                          [finished, cancelled]
                          {
                              if (!*cancelled)
                              {
                                  call_result result;
                                  result.detail = "no connection left";
                                  finished(std::move(result));
                              }
                          });
        return [this, cancelled]
        {
            *cancelled = true;
            this->pending -= 1;
        };
    }
    return [this, connection]
    {
        this->pending -= 1;
        connection->cancel();
    };
}

void peer_node::call(request_message message,
                     duration timeout,
                     client_connection::result_handler done)
{
    call_options options;
    options.deadline = now() + timeout;
    options.connect_timeout = connect_timeout;
    auto const connection =
        this->connections.send(std::move(message), options, false, done);
    if (!connection)
    {
        boost::asio::post(this->io,
                          [done = std::move(done)]
                          {
                              call_result result;
                              result.detail = "no connection left";
                              done(std::move(result));
                          });
    }
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
        this->suspended_until =
            now() + first_suspension *
                        (1U << std::min(this->unreachable, largest_doubling));
        this->unreachable += 1;
        return;
    }
    if (status == call_status::answered)
    {
        this->unreachable = 0;
    }
    if (result.load)
    {
        this->last_load = result.load;
        this->load_heard = now();
        this->sent = 0;
    }
    bool const failed =
        result.outcome == dispatch_outcome::indeterminate ||
        (result.outcome == dispatch_outcome::refused && result.reached_target);
    this->failures += failure_weight * ((failed ? 1.0 : 0.0) - this->failures);
}

bool peer_node::is_suspended(time_point at) const
{
    return at < this->suspended_until;
}

std::uint32_t peer_node::in_flight() const
{
    return this->pending;
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
