#ifndef ENDIVEHINGE_DETAIL_NODE_EVENT_DISPATCHER_HPP
#define ENDIVEHINGE_DETAIL_NODE_EVENT_DISPATCHER_HPP

#include <thread> // thread

#include <endivehinge/core/bounded_queue.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/membership/membership_listener.hpp>
#include <endivehinge/detail/node/configuration_service.hpp>

namespace endivehinge::detail
{

/// @brief forwards membership events to the configuration service and the
///        HTTP client
class event_dispatcher final : public membership_listener
{
public:
    /// @param configuration outlives the dispatcher
    /// @param client closes its connections to nodes that died or left;
    ///        outlives the dispatcher
    event_dispatcher(configuration_service & configuration,
                     http_client & client);
    ~event_dispatcher() override;

    /// @brief starts the thread that forwards events
    void start();

    /// @brief stops the thread
    /// @note thread safety: one thread; may be called again
    void stop();

    void on_membership_event(membership_event const & event) override;

private:
    void run();
    void dispatch(membership_event const & event);

    configuration_service & configuration;
    http_client & client;
    bounded_queue<membership_event> events;
    std::thread worker;
};

} // namespace endivehinge::detail

#endif
