#ifndef ENDIVEHINGE_DETAIL_NODE_EVENT_DISPATCHER_HPP
#define ENDIVEHINGE_DETAIL_NODE_EVENT_DISPATCHER_HPP

#include <thread> // thread

#include <endivehinge/core/bounded_queue.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/membership/membership_listener.hpp>
#include <endivehinge/detail/node/configuration_service.hpp>

namespace endivehinge::detail
{

/// @brief hands what membership sees to the parts that need it
class event_dispatcher final : public membership_listener
{
public:
    /// @param configuration outlives the dispatcher
    /// @param client drops its connections to nodes that are gone; outlives
    ///        the dispatcher
    event_dispatcher(configuration_service & configuration,
                     http_client & client);
    ~event_dispatcher() override;

    /// @brief begins to hand on, on a thread of its own
    void start();

    /// @brief ends the thread
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
