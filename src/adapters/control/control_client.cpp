#include <endivehinge/detail/control/control_client.hpp>

#include <algorithm> // find_if
#include <list>      // list
#include <utility>   // move

#include <absl/strings/str_cat.h>       // StrCat
#include <absl/synchronization/mutex.h> // Mutex
#include <coordination.grpc.pb.h>       // wire::coordination
#include <grpcpp/grpcpp.h>              // CreateCustomChannel

namespace endivehinge::detail
{
namespace
{

using stub = wire::coordination::StubInterface;

constexpr int first_reconnect_ms = 100;
constexpr int longest_reconnect_ms = 2000;

std::string uri_of(endpoint const & peer)
{
    bool const is_ipv6 = peer.host.find(':') != std::string::npos;
    return absl::StrCat(is_ipv6 ? "ipv6:" : "ipv4:", peer.to_string());
}

std::shared_ptr<stub> connect(endpoint const & peer,
                              control_limits const & limits)
{
    grpc::ChannelArguments arguments;
    int const bytes = static_cast<int>(limits.message_bytes);
    arguments.SetMaxReceiveMessageSize(bytes);
    arguments.SetMaxSendMessageSize(bytes);
    // without this a new channel would take over a connection gone silent
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longest_reconnect_ms);
    return wire::coordination::NewStub(grpc::CreateCustomChannel(
        uri_of(peer), grpc::InsecureChannelCredentials(), arguments));
}

failure_id classify(grpc::StatusCode code)
{
    switch (code)
    {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return failure_id::timed_out;
    case grpc::StatusCode::UNAVAILABLE:
        return failure_id::connection_lost;
    case grpc::StatusCode::CANCELLED:
        return failure_id::cancelled;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
        return failure_id::overloaded;
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::UNIMPLEMENTED:
        return failure_id::invalid_message;
    default:
        return failure_id::internal;
    }
}

} // namespace

class control_client::channel_pool
{
public:
    explicit channel_pool(control_limits const & given)
        : limits(given)
    {
    }

    template <class Response, class Request>
    std::optional<Response>
    call(char const * step,
         grpc::Status (stub::*method)(grpc::ClientContext *,
                                      Request const &,
                                      Response *),
         endpoint const & peer,
         Request const & request,
         duration timeout,
         failure & reason)
    {
        auto const used = this->take(peer);
        grpc::ClientContext context;
        context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                timeout));
        Response response;
        grpc::Status const status =
            ((*used).*method)(&context, request, &response);
        if (status.ok())
        {
            return response;
        }
        this->forget(peer, used);
        reason = {classify(status.error_code()),
                  step,
                  peer.to_string(),
                  status.error_message()};
        return std::nullopt;
    }

private:
    struct entry
    {
        endpoint peer;
        std::shared_ptr<stub> kept;
    };

    std::shared_ptr<stub> take(endpoint const & peer)
    {
        absl::MutexLock lock(&this->mutex);
        auto const found = this->find(peer);
        if (found != this->entries.end())
        {
            this->entries.splice(this->entries.begin(), this->entries, found);
            return found->kept;
        }
        this->entries.push_front({peer, connect(peer, this->limits)});
        if (this->entries.size() > this->limits.channels)
        {
            this->entries.pop_back();
        }
        return this->entries.front().kept;
    }

    void forget(endpoint const & peer, std::shared_ptr<stub> const & failed)
    {
        absl::MutexLock lock(&this->mutex);
        auto const found = this->find(peer);
        if (found != this->entries.end() && found->kept == failed)
        {
            this->entries.erase(found);
        }
    }

    std::list<entry>::iterator find(endpoint const & peer)
    {
        return std::find_if(this->entries.begin(),
                            this->entries.end(),
                            [&peer](entry const & candidate)
                            {
                                return candidate.peer == peer;
                            });
    }

    control_limits const limits;
    absl::Mutex mutex;
    // the most recently used comes first
    std::list<entry> entries;
};

control_client::control_client(control_limits const & limits)
    : channels(std::make_unique<channel_pool>(limits))
{
}

control_client::~control_client() = default;

std::optional<wire::pull_response>
control_client::pull(endpoint const & peer,
                     wire::pull_request const & request,
                     duration timeout,
                     failure & reason)
{
    return this->channels->call(
        "pull configuration", &stub::pull, peer, request, timeout, reason);
}

std::optional<wire::push_response>
control_client::push(endpoint const & peer,
                     wire::push_request const & request,
                     duration timeout,
                     failure & reason)
{
    return this->channels->call(
        "push configuration", &stub::push, peer, request, timeout, reason);
}

std::optional<wire::lease_response>
control_client::renew_lease(endpoint const & peer,
                            wire::lease_request const & request,
                            duration timeout,
                            failure & reason)
{
    return this->channels->call(
        "renew lease", &stub::renew_lease, peer, request, timeout, reason);
}

std::optional<wire::handover_response>
control_client::hand_over(endpoint const & peer,
                          wire::handover_request const & request,
                          duration timeout,
                          failure & reason)
{
    return this->channels->call(
        "hand over records", &stub::hand_over, peer, request, timeout, reason);
}

bool control_client::share_marks(endpoint const & peer,
                                 wire::share_marks_request const & request,
                                 duration timeout,
                                 failure & reason)
{
    return this->channels
        ->call("share crash marks",
               &stub::share_marks,
               peer,
               request,
               timeout,
               reason)
        .has_value();
}

} // namespace endivehinge::detail
