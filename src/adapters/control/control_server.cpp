#include <endivehinge/detail/control/control_server.hpp>

#include <chrono>  // system_clock, duration_cast
#include <utility> // move

#include <coordination.grpc.pb.h> // wire::coordination
#include <grpcpp/grpcpp.h>        // Server, ServerBuilder, ResourceQuota

namespace endivehinge::detail
{
namespace
{

constexpr duration abrupt_stop_patience = std::chrono::milliseconds(200);

// the library takes part of its threads for itself
constexpr int polling_threads = 2;

grpc::Status unavailable(char const * what)
{
    return {grpc::StatusCode::UNAVAILABLE, what};
}

grpc::Status status_of(bool answered)
{
    return answered ? grpc::Status::OK : unavailable("cannot answer now");
}

// hands each exchange to the part of the node that answers it
class dispatcher final : public wire::coordination::Service
{
public:
    explicit dispatcher(control_handlers const & given)
        : handlers(given)
    {
    }

    grpc::Status pull(grpc::ServerContext *,
                      wire::pull_request const * request,
                      wire::pull_response * response) override
    {
        if (this->handlers.configuration == nullptr)
        {
            return unavailable("no configuration here");
        }
        return status_of(
            this->handlers.configuration->pull(*request, *response));
    }

    grpc::Status push(grpc::ServerContext *,
                      wire::push_request const * request,
                      wire::push_response * response) override
    {
        if (this->handlers.configuration == nullptr)
        {
            return unavailable("no configuration here");
        }
        return status_of(
            this->handlers.configuration->push(*request, *response));
    }

    grpc::Status renew_lease(grpc::ServerContext *,
                             wire::lease_request const * request,
                             wire::lease_response * response) override
    {
        if (this->handlers.lease == nullptr)
        {
            return unavailable("no leases here");
        }
        return status_of(
            this->handlers.lease->renew_lease(*request, *response));
    }

    grpc::Status hand_over(grpc::ServerContext *,
                           wire::handover_request const * request,
                           wire::handover_response * response) override
    {
        if (this->handlers.lease == nullptr)
        {
            return unavailable("no leases here");
        }
        return status_of(this->handlers.lease->hand_over(*request, *response));
    }

    grpc::Status share_marks(grpc::ServerContext *,
                             wire::share_marks_request const * request,
                             wire::share_marks_response *) override
    {
        if (this->handlers.marks == nullptr)
        {
            return unavailable("no crash marks here");
        }
        this->handlers.marks->share_marks(*request);
        return grpc::Status::OK;
    }

private:
    control_handlers handlers;
};

void set_limits(grpc::ServerBuilder & builder, control_limits const & limits)
{
    using option = grpc::ServerBuilder::SyncServerOption;
    grpc::ResourceQuota quota("control");
    quota.SetMaxThreads(limits.server_threads + polling_threads);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(option::NUM_CQS, 1);
    builder.SetSyncServerOption(option::MIN_POLLERS, 1);
    builder.SetSyncServerOption(option::MAX_POLLERS, polling_threads);
    int const bytes = static_cast<int>(limits.message_bytes);
    builder.SetMaxReceiveMessageSize(bytes);
    builder.SetMaxSendMessageSize(bytes);
    // two nodes that were given the same port must not share it unseen
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
}

} // namespace

class control_server::state
{
public:
    explicit state(control_handlers const & handlers)
        : service(handlers)
    {
    }

    dispatcher service;
    std::unique_ptr<grpc::Server> server;
    std::uint16_t port = 0;
};

std::unique_ptr<control_server>
control_server::start(endpoint const & address,
                      control_handlers const & handlers,
                      control_limits const & limits,
                      failure & reason)
{
    auto initial = std::make_unique<state>(handlers);
    int port = 0;
    grpc::ServerBuilder builder;
    set_limits(builder, limits);
    builder.AddListeningPort(
        address.to_string(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&initial->service);
    initial->server = builder.BuildAndStart();
    if (initial->server == nullptr || port == 0)
    {
        reason = {failure_id::connect_failed,
                  "listen for coordination",
                  address.to_string(),
                  "the address is in use or not of this machine"};
        return nullptr;
    }
    initial->port = static_cast<std::uint16_t>(port);
    return std::unique_ptr<control_server>(
        new control_server(std::move(initial)));
}

control_server::control_server(std::unique_ptr<state> initial)
    : shared(std::move(initial))
{
}

control_server::~control_server()
{
    this->stop(abrupt_stop_patience);
}

std::uint16_t control_server::port() const
{
    return this->shared->port;
}

void control_server::stop(duration patience)
{
    using std::chrono::system_clock;
    this->shared->server->Shutdown(
        system_clock::now() +
        std::chrono::duration_cast<system_clock::duration>(patience));
}

} // namespace endivehinge::detail
