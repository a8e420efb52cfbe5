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
constexpr absl::Duration renewal_check = absl::Milliseconds(25);
constexpr absl::Duration platform_check = absl::Milliseconds(100);
constexpr absl::Duration handover_check = absl::Milliseconds(50);
constexpr absl::Duration leave_check = absl::Milliseconds(20);
constexpr std::chrono::milliseconds renewal_timeout(500);
constexpr std::chrono::seconds handover_timeout(2);
constexpr std::size_t handover_bytes = std::size_t{1024} * 1024;
constexpr int handover_tries = 3;

logger const & log()
{
    static logger const instance("ownership");
    return instance;
}

bool is_reachable(member const & one)
{
    return one.state == member_state::alive ||
           one.state == member_state::suspect;
}

} // namespace

ownership_service::ownership_service(owner_identity own,
                                     service_name of,
                                     key_ownership & keys,
                                     member_directory const & directory,
                                     object_store & platform,
                                     control_client & calls,
                                     clock const & source)
    : self(std::move(own))
    , service(std::move(of))
    , ownership(keys)
    , members(directory)
    , store(platform)
    , client(calls)
    , time(source)
{
}

ownership_service::~ownership_service()
{
    this->stop();
}

void ownership_service::start()
{
    this->renewing = std::thread(
        [this]()
        {
            this->repeat(renewal_check,
                         [this]()
                         {
                             this->renew();
                         });
        });
    this->keeping = std::thread(
        [this]()
        {
            this->repeat(platform_check,
                         [this]()
                         {
                             this->call_platform();
                         });
        });
    this->handing_over = std::thread(
        [this]()
        {
            this->repeat(handover_check,
                         [this]()
                         {
                             this->send_handovers();
                         });
        });
}

bool ownership_service::leave(absl::Duration patience)
{
    this->ownership.leave();
    absl::Time const deadline = absl::Now() + patience;
    while (absl::Now() < deadline)
    {
        if (this->ownership.has_left())
        {
            this->send_handovers();
            absl::MutexLock lock(&this->mutex);
            if (this->handovers_under_way == 0)
            {
                return true;
            }
        }
        absl::SleepFor(leave_check);
    }
    log().warning("The keys were not handed over in time.");
    return false;
}

void ownership_service::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    for (auto * const worker :
         {&this->renewing, &this->keeping, &this->handing_over})
    {
        if (worker->joinable())
        {
            worker->join();
        }
    }
}

void ownership_service::repeat(absl::Duration interval,
                               std::function<void()> const & action)
{
    while (true)
    {
        action();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
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
    if (renewal.is_answered)
    {
        return;
    }
    auto const asked = this->asked_member(renewal.leader);
    if (!asked.has_value())
    {
        return;
    }
    failure reason;
    auto const answer =
        this->client.renew_lease(asked->control_address,
                                 encode_renewal(this->service, renewal.message),
                                 renewal_timeout,
                                 reason);
    if (answer.has_value())
    {
        this->ownership.take(decode_grant(*answer), renewal.sent);
    }
}

void ownership_service::call_platform()
{
    auto const call = this->ownership.next_call();
    if (!call.has_value())
    {
        return;
    }
    call->value.has_value() ? this->write(*call) : this->read();
}

void ownership_service::read()
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
        log().error("An assignment can not be read.",
                    {{"reason", reason.describe()}});
        this->ownership.on_read(std::nullopt);
        return;
    }
    this->ownership.on_read(
        stored_assignment{std::move(value), object->version});
}

void ownership_service::write(store_call const & call)
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
        ++this->handovers_under_way;
    }
    for (auto const & handed : this->ownership.take_handovers())
    {
        if (!this->send_handover(handed))
        {
            log().warning("Records were not handed over.",
                          {{"to", handed.to.name.value()}});
        }
    }
    absl::MutexLock lock(&this->mutex);
    --this->handovers_under_way;
}

bool ownership_service::send_handover(record_handover const & handed)
{
    for (auto const & message :
         encode_handover(this->service, handed, handover_bytes))
    {
        bool is_accepted = false;
        for (int tried = 0; tried < handover_tries && !is_accepted; ++tried)
        {
            auto const receiver = this->asked_member(handed.to);
            if (!receiver.has_value() || receiver->name != handed.to.name)
            {
                return false;
            }
            failure reason;
            auto const answer = this->client.hand_over(
                receiver->control_address, message, handover_timeout, reason);
            is_accepted = answer.has_value() && answer->accepted();
        }
        if (!is_accepted)
        {
            return false;
        }
    }
    return true;
}

// the keeper, or else any other node of the service
std::optional<member>
ownership_service::asked_member(std::optional<owner_identity> const & leader)
{
    auto const all = this->members.snapshot();
    std::vector<member const *> others;
    for (auto const & one : *all)
    {
        bool const is_other = one.service == this->service &&
                              one.name != this->self.name && is_reachable(one);
        bool const is_leader =
            leader.has_value() && one.name == leader->name &&
            one.incarnation_number == leader->incarnation_number;
        if (is_other && is_leader)
        {
            return one;
        }
        if (is_other)
        {
            others.push_back(&one);
        }
    }
    if (others.empty())
    {
        return std::nullopt;
    }
    absl::MutexLock lock(&this->mutex);
    return *others[absl::Uniform<std::size_t>(this->random, 0, others.size())];
}

} // namespace endivehinge::detail
