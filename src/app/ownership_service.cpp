#include <endivehinge/detail/node/ownership_service.hpp>

#include <utility> // move

#include <absl/random/distributions.h> // Uniform
#include <absl/time/clock.h>           // Now, SleepFor

#include <endivehinge/detail/control/lease_codec.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr char const * object_kind = "assignments";
constexpr absl::Duration renewal_check_interval = absl::Milliseconds(25);
constexpr absl::Duration platform_check_interval = absl::Milliseconds(100);
constexpr absl::Duration handover_check_interval = absl::Milliseconds(50);
constexpr absl::Duration leave_check_interval = absl::Milliseconds(20);
constexpr std::chrono::milliseconds renewal_timeout(500);
constexpr std::chrono::seconds handover_timeout(2);
constexpr std::size_t max_handover_message_bytes = std::size_t{1024} * 1024;
constexpr int max_handover_attempts = 3;

logger const & log()
{
    static logger const instance("ownership");
    return instance;
}

bool is_reachable(member const & candidate)
{
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

} // namespace

ownership_service::ownership_service(owner_identity own_identity,
                                     service_name service_of_node,
                                     key_ownership & local_ownership,
                                     member_directory const & member_list,
                                     object_store & assignment_store,
                                     control_client & rpc_client,
                                     clock const & clock_source)
    : self(std::move(own_identity))
    , service(std::move(service_of_node))
    , ownership(local_ownership)
    , members(member_list)
    , store(assignment_store)
    , client(rpc_client)
    , time(clock_source)
{
}

ownership_service::~ownership_service()
{
    this->stop();
}

void ownership_service::start()
{
    this->renewal_thread = std::thread(
        [this]()
        {
            this->run_periodically(renewal_check_interval,
                                   [this]()
                                   {
                                       this->renew();
                                   });
        });
    this->platform_thread = std::thread(
        [this]()
        {
            this->run_periodically(platform_check_interval,
                                   [this]()
                                   {
                                       this->call_platform();
                                   });
        });
    this->handover_thread = std::thread(
        [this]()
        {
            this->run_periodically(handover_check_interval,
                                   [this]()
                                   {
                                       this->send_handovers();
                                   });
        });
}

bool ownership_service::leave(absl::Duration wait_limit)
{
    this->ownership.leave();
    absl::Time const deadline = absl::Now() + wait_limit;
    while (absl::Now() < deadline)
    {
        if (this->ownership.has_left())
        {
            this->send_handovers();
            absl::MutexLock lock(&this->mutex);
            if (this->active_handover_passes == 0)
            {
                return true;
            }
        }
        absl::SleepFor(leave_check_interval);
    }
    log().warning("Failed to hand over all keys before the leave timeout.");
    return false;
}

void ownership_service::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->is_stopping = true;
    }
    for (auto * const worker : {&this->renewal_thread,
                                &this->platform_thread,
                                &this->handover_thread})
    {
        if (worker->joinable())
        {
            worker->join();
        }
    }
}

void ownership_service::run_periodically(absl::Duration interval,
                                         std::function<void()> const & action)
{
    while (true)
    {
        action();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->is_stopping),
                                         interval))
        {
            return;
        }
    }
}

void ownership_service::renew()
{
    if (this->time.now() < this->ownership.next_renewal())
    {
        return;
    }
    auto const renewal = this->ownership.begin_renewal();
    if (renewal.is_granted_locally)
    {
        return;
    }
    auto const receiver = this->choose_receiver(renewal.leader);
    if (!receiver.has_value())
    {
        return;
    }
    failure reason;
    auto const response =
        this->client.renew_lease(receiver->control_address,
                                 encode_renewal(this->service, renewal.message),
                                 renewal_timeout,
                                 reason);
    if (response.has_value())
    {
        this->ownership.apply_grant(decode_grant(*response), renewal.sent);
    }
}

void ownership_service::call_platform()
{
    auto const call = this->ownership.next_call();
    if (!call.has_value())
    {
        return;
    }
    call->value.has_value() ? this->write_assignment(*call)
                            : this->read_assignment();
}

void ownership_service::read_assignment()
{
    failure reason;
    auto const object =
        this->store.get(object_kind, this->service.value(), reason);
    if (!object.has_value())
    {
        this->ownership.on_read(reason.id == failure_id::not_found
                                    ? std::make_optional(stored_assignment())
                                    : std::nullopt);
        return;
    }
    auto value = assignment::from_text(object->value, reason);
    if (!value.has_value())
    {
        log().error("Failed to parse the stored key assignment; ignoring it.",
                    {{"reason", reason.describe()}});
        this->ownership.on_read(std::nullopt);
        return;
    }
    this->ownership.on_read(
        stored_assignment{std::move(value), object->version});
}

void ownership_service::write_assignment(store_call const & call)
{
    failure reason;
    auto const version = this->store.put(object_kind,
                                         this->service.value(),
                                         call.expected,
                                         call.value->to_text(),
                                         reason);
    if (version.has_value())
    {
        this->ownership.on_written(write_result::done, *version);
        return;
    }
    this->ownership.on_written(reason.id == failure_id::version_conflict
                                   ? write_result::conflict
                                   : write_result::unknown,
                               object_version());
}

void ownership_service::send_handovers()
{
    {
        absl::MutexLock lock(&this->mutex);
        ++this->active_handover_passes;
    }
    for (auto const & handover : this->ownership.take_handovers())
    {
        if (!this->send_handover(handover))
        {
            log().warning(
                "Failed to hand over idempotency records; dropping them.",
                {{"to", handover.to.name.value()}});
        }
    }
    absl::MutexLock lock(&this->mutex);
    --this->active_handover_passes;
}

bool ownership_service::send_handover(record_handover const & handover)
{
    for (auto const & message :
         encode_handover(this->service, handover, max_handover_message_bytes))
    {
        bool is_accepted = false;
        for (int attempt = 0; attempt < max_handover_attempts && !is_accepted;
             ++attempt)
        {
            auto const receiver = this->choose_receiver(handover.to);
            if (!receiver.has_value() || receiver->name != handover.to.name)
            {
                return false;
            }
            failure reason;
            auto const response = this->client.hand_over(
                receiver->control_address, message, handover_timeout, reason);
            is_accepted = response.has_value() && response->accepted();
        }
        if (!is_accepted)
        {
            return false;
        }
    }
    return true;
}

// Returns the leader, or a random other node of the service if the leader is
// unknown or unreachable.
std::optional<member>
ownership_service::choose_receiver(std::optional<owner_identity> const & leader)
{
    auto const all = this->members.snapshot();
    std::vector<member const *> peers;
    for (auto const & candidate : *all)
    {
        bool const is_peer = candidate.service == this->service &&
                             candidate.name != this->self.name &&
                             is_reachable(candidate);
        bool const is_leader =
            leader.has_value() && candidate.name == leader->name &&
            candidate.incarnation_number == leader->incarnation_number;
        if (is_peer && is_leader)
        {
            return candidate;
        }
        if (is_peer)
        {
            peers.push_back(&candidate);
        }
    }
    if (peers.empty())
    {
        return std::nullopt;
    }
    absl::MutexLock lock(&this->mutex);
    return *peers[absl::Uniform<std::size_t>(this->random, 0, peers.size())];
}

} // namespace endivehinge::detail
