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
#include <endivehinge/detail/node/crash_report_broadcaster.hpp>
#include <endivehinge/detail/node/event_dispatcher.hpp>
#include <endivehinge/detail/node/execution_log.hpp>
#include <endivehinge/detail/node/ingress_handler.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>
#include <endivehinge/detail/node/keyed_router.hpp>
#include <endivehinge/detail/node/local_executor.hpp>
#include <endivehinge/detail/node/node_ports.hpp>
#include <endivehinge/detail/node/owner_locator.hpp>
#include <endivehinge/detail/node/ownership_service.hpp>
#include <endivehinge/detail/node/peer_handler.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/detail/node/request_router.hpp>
#include <endivehinge/detail/node/shared_quarantine.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>
#include <endivehinge/policy/load_aware_policy.hpp>

namespace endivehinge::detail
{

/// @brief the components of a node, declared in the order of their dependencies
class node_parts
{
public:
    explicit node_parts(node_settings const & initial_settings);
    node_parts(node_parts const &) = delete;
    node_parts & operator=(node_parts const &) = delete;
    ~node_parts();

    /// @brief opens the ports, then starts the threads
    /// @param reason set if a port could not be opened
    [[nodiscard]] bool start(failure & reason);

    /// @brief the ports that the node listens on
    /// @pre start returned true
    [[nodiscard]] node_ports ports() const;

    /// @brief admits no new requests and waits for those in progress
    /// @return whether all requests finished before the shutdown deadline
    /// @note thread safety: one thread
    [[nodiscard]] bool drain();

private:
    bool open_control(failure & reason);
    bool open_control_once(failure & reason);
    bool open_http(failure & reason);
    void start_threads();
    void announce_periodically();
    void announce_local_member();
    void apply_configuration();
    void stop_announcements();
    bool accepts_work_for(target_status const & target) const;

    machine_clock time;
    node_settings settings;
    incarnation own_incarnation;

    // coordination //
    http_client client{http_client_limits()};
    http_object_store store;
    std::unique_ptr<membership_service> members;
    control_client peer_client;
    configuration_holder configuration_state;
    std::unique_ptr<contact_list> contacts;
    std::unique_ptr<configuration_service> configuration;
    std::unique_ptr<event_dispatcher> events;
    std::unique_ptr<crash_report_broadcaster> crash_report_exchange;
    key_ownership ownership;
    std::unique_ptr<ownership_service> lease_service;
    owner_locator locator;
    std::unique_ptr<control_server> control;

    // requests //
    load_aware_policy policy;
    execution_log executions;
    request_id_source request_ids;
    shared_quarantine quarantine;
    local_executor executor;
    remote_executor peer_executor;
    request_router router;
    metrics request_metrics;
    keyed_router key_router;
    ingress_handler ingress;
    peer_handler peers;
    admin_handler admin;
    std::unique_ptr<http_server> ingress_server;
    std::unique_ptr<http_server> peer_server;
    std::unique_ptr<http_server> admin_server;

    mutable absl::Mutex mutex;
    bool is_leaving = false;
    bool is_stopping = false;
    std::thread announcement_thread;
};

} // namespace endivehinge::detail

#endif
