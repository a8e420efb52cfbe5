#ifndef ENDIVEHINGE_DETAIL_NODE_NODE_PARTS_HPP
#define ENDIVEHINGE_DETAIL_NODE_NODE_PARTS_HPP

#include <memory> // unique_ptr
#include <thread> // thread

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/control/control_server.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/http/http_server.hpp>
#include <endivehinge/detail/membership/contact_list.hpp>
#include <endivehinge/detail/membership/membership_service.hpp>
#include <endivehinge/detail/node/admin_handler.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/configuration_service.hpp>
#include <endivehinge/detail/node/event_dispatcher.hpp>
#include <endivehinge/detail/node/execution_log.hpp>
#include <endivehinge/detail/node/ingress_handler.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>
#include <endivehinge/detail/node/keyed_router.hpp>
#include <endivehinge/detail/node/local_executor.hpp>
#include <endivehinge/detail/node/mark_sharer.hpp>
#include <endivehinge/detail/node/node_ports.hpp>
#include <endivehinge/detail/node/owner_locator.hpp>
#include <endivehinge/detail/node/ownership_service.hpp>
#include <endivehinge/detail/node/peer_handler.hpp>
#include <endivehinge/detail/node/quarantine_board.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/detail/node/request_router.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>
#include <endivehinge/policy/load_aware_policy.hpp>

namespace endivehinge::detail
{

/// @brief the parts of a node, in the order in which they need each other
class node_parts
{
public:
    explicit node_parts(node_settings const & given);
    node_parts(node_parts const &) = delete;
    node_parts & operator=(node_parts const &) = delete;
    ~node_parts();

    /// @brief opens the ports, then starts the threads
    /// @param reason why a port could not be opened
    [[nodiscard]] bool start(failure & reason);

    /// @brief where it listens
    /// @pre start gave true
    [[nodiscard]] node_ports ports() const;

    /// @brief takes no new work and finishes what runs
    /// @return whether all was finished in time
    /// @note thread safety: one thread
    [[nodiscard]] bool drain();

private:
    bool open_control(failure & reason);
    bool open_control_once(failure & reason);
    bool open_http(failure & reason);
    void start_threads();
    void watch_self();
    void announce_self();
    void apply_configuration();
    void stop_self_check();
    bool takes_work(target_status const & target) const;

    machine_clock time;
    node_settings settings;
    incarnation run;

    // coordination //
    http_client client{http_client_limits()};
    http_object_store store;
    std::unique_ptr<membership_service> members;
    control_client calls;
    configuration_holder configured;
    std::unique_ptr<contact_list> contacts;
    std::unique_ptr<configuration_service> configuration;
    std::unique_ptr<event_dispatcher> events;
    std::unique_ptr<mark_sharer> marks;
    key_ownership ownership;
    std::unique_ptr<ownership_service> leases;
    owner_locator locator;
    std::unique_ptr<control_server> control;

    // requests //
    load_aware_policy policy;
    execution_log log;
    request_id_source ids;
    quarantine_board quarantine;
    local_executor executor;
    remote_executor remote;
    request_router router;
    metrics recorded;
    keyed_router keyed;
    ingress_handler ingress;
    peer_handler peers;
    admin_handler admin;
    std::unique_ptr<http_server> ingress_server;
    std::unique_ptr<http_server> peer_server;
    std::unique_ptr<http_server> admin_server;

    mutable absl::Mutex mutex;
    bool leaving = false;
    bool stopping = false;
    std::thread self_check;
};

} // namespace endivehinge::detail

#endif
