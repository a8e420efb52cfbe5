#include <endivehinge/detail/membership/membership_service.hpp>

#include <algorithm> // max
#include <utility>   // exchange, move

#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration min_publish_interval = std::chrono::milliseconds(50);
// copying the members may take a small share of the time at any size
constexpr duration publish_interval_per_member = std::chrono::microseconds(50);

logger const & log()
{
    static logger const instance("membership");
    return instance;
}

} // namespace

membership_service::membership_service(clock const & source,
                                       membership_options chosen)
    : time(source)
    , options(chosen)
{
}

membership_service::~membership_service()
{
    this->stop();
}

bool membership_service::open(endpoint const & control, failure & reason)
{
    this->socket = datagram_socket::bind(control, reason);
    return this->socket != nullptr;
}

endpoint const & membership_service::address() const
{
    return this->socket->address();
}

void membership_service::announce(member const & self)
{
    member latest = self;
    latest.control_address = this->socket->address();
    absl::MutexLock lock(&this->mutex);
    this->has_news = true;
    if (this->state == nullptr)
    {
        this->state =
            std::make_unique<membership>(std::move(latest), this->options);
        return;
    }
    this->state->update_self(latest);
}

void membership_service::start(membership_listener * told)
{
    this->listener = told;
    this->publish_members();
    this->worker = std::thread(&membership_service::run, this);
}

void membership_service::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->worker.joinable())
    {
        this->worker.join();
    }
}

void membership_service::leave()
{
    absl::MutexLock lock(&this->mutex);
    if (this->state != nullptr)
    {
        this->state->leave(this->time.now(), this->random);
        this->flush();
    }
}

void membership_service::set_configuration_version(object_version version)
{
    absl::MutexLock lock(&this->mutex);
    if (this->state != nullptr)
    {
        this->state->set_configuration_version(
            version, this->time.now(), this->random);
        this->flush();
    }
}

void membership_service::join(std::vector<endpoint> const & contacts)
{
    absl::MutexLock lock(&this->mutex);
    if (this->state != nullptr)
    {
        this->state->join(contacts, this->time.now(), this->random);
    }
}

bool membership_service::has_joined() const
{
    absl::MutexLock lock(&this->mutex);
    return this->state != nullptr && this->state->size() > 0 &&
           !this->state->is_joining();
}

bool membership_service::is_alone() const
{
    absl::MutexLock lock(&this->mutex);
    return this->state == nullptr || this->state->size() == 0;
}

std::optional<std::vector<contact>>
membership_service::plan(std::vector<contact> const & listed,
                         bool doubt_unknown) const
{
    absl::MutexLock lock(&this->mutex);
    return plan_contacts(listed, *this->state, doubt_unknown);
}

member membership_service::self() const
{
    absl::MutexLock lock(&this->mutex);
    return this->state->self();
}

membership_counters membership_service::counters() const
{
    absl::MutexLock lock(&this->mutex);
    return this->counted;
}

member_snapshot membership_service::snapshot() const
{
    absl::MutexLock lock(&this->snapshot_mutex);
    return this->members;
}

void membership_service::run()
{
    time_point next_tick = this->time.now();
    while (!this->is_stopping())
    {
        duration const left = next_tick - this->time.now();
        this->receive_one(std::max(duration(0), left));
        if (this->time.now() >= next_tick)
        {
            absl::MutexLock lock(&this->mutex);
            this->state->tick(this->time.now(), this->random);
            this->flush();
            next_tick = this->time.now() + tick_interval;
        }
        std::vector<membership_event> seen;
        {
            absl::MutexLock lock(&this->mutex);
            seen = std::exchange(this->events, {});
        }
        if (this->listener != nullptr)
        {
            for (auto const & event : seen)
            {
                this->listener->on_membership_event(event);
            }
        }
        this->publish_members();
    }
}

void membership_service::receive_one(duration patience)
{
    auto const datagram = this->socket->receive(patience);
    if (!datagram.has_value())
    {
        return;
    }
    failure reason;
    auto const message = this->codec.decode(datagram->bytes, reason);
    absl::MutexLock lock(&this->mutex);
    ++this->counted.datagrams_received;
    this->counted.bytes_received += datagram->bytes.size();
    if (!message.has_value())
    {
        ++this->counted.invalid_datagrams;
        return;
    }
    this->state->receive(
        *message, datagram->from, this->time.now(), this->random);
    this->flush();
}

void membership_service::flush()
{
    for (auto const & sent : this->state->take_messages())
    {
        std::string const datagram = this->codec.encode(sent.message);
        if (!this->socket->send(sent.to, datagram))
        {
            // lost, as any datagram may be
            ++this->counted.failed_sends;
            continue;
        }
        ++this->counted.datagrams_sent;
        this->counted.bytes_sent += datagram.size();
    }
    for (auto & event : this->state->take_events())
    {
        this->has_news |= event.kind == membership_event_kind::member_changed;
        this->events.push_back(std::move(event));
    }
}

void membership_service::publish_members()
{
    time_point const now = this->time.now();
    std::vector<member> latest;
    {
        absl::MutexLock lock(&this->mutex);
        duration const interval =
            min_publish_interval +
            publish_interval_per_member *
                static_cast<duration::rep>(this->state->size());
        if (!this->has_news || now - this->published < interval)
        {
            return;
        }
        this->has_news = false;
        latest = this->state->members();
    }
    this->published = now;
    auto shared =
        std::make_shared<std::vector<member> const>(std::move(latest));
    log().debug("The members changed.",
                {{"members", std::to_string(shared->size())}});
    absl::MutexLock lock(&this->snapshot_mutex);
    this->members = std::move(shared);
}

bool membership_service::is_stopping() const
{
    absl::MutexLock lock(&this->mutex);
    return this->stopping;
}

} // namespace endivehinge::detail
