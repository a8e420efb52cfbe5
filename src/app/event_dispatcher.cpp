#include <endivehinge/detail/node/event_dispatcher.hpp>

#include <absl/time/time.h> // Seconds

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t most_events = 8192;
constexpr absl::Duration wait_for_events = absl::Seconds(1);

bool is_gone(member_state state)
{
    return state == member_state::dead || state == member_state::left;
}

} // namespace

event_dispatcher::event_dispatcher(configuration_service & service,
                                   http_client & exchanges)
    : configuration(service)
    , client(exchanges)
    , events(most_events)
{
}

event_dispatcher::~event_dispatcher()
{
    this->stop();
}

void event_dispatcher::start()
{
    this->worker = std::thread(&event_dispatcher::run, this);
}

void event_dispatcher::stop()
{
    this->events.close();
    if (this->worker.joinable())
    {
        this->worker.join();
    }
}

void event_dispatcher::on_membership_event(membership_event const & event)
{
    // a lost event is made up for: versions are announced again and again
    static_cast<void>(this->events.try_push(event));
}

void event_dispatcher::run()
{
    while (!this->events.is_closed())
    {
        if (auto const event = this->events.pop(wait_for_events))
        {
            this->dispatch(*event);
        }
    }
}

void event_dispatcher::dispatch(membership_event const & event)
{
    if (event.kind == membership_event_kind::newer_configuration)
    {
        this->configuration.on_peer_version(*event.record, event.configuration);
    }
    else if (is_gone(event.state))
    {
        this->client.forget(event.record->peer_address);
    }
}

} // namespace endivehinge::detail
