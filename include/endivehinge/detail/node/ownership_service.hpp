#ifndef ENDIVEHINGE_DETAIL_NODE_OWNERSHIP_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_NODE_OWNERSHIP_SERVICE_HPP

#include <functional> // function
#include <optional>   // optional
#include <thread>     // thread

#include <absl/random/random.h>         // BitGen
#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Duration

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>

namespace endivehinge::detail
{

/// @brief renews a node's lease, performs the leader's calls to the platform
///        and sends record handovers
class ownership_service
{
public:
    /// @param self this node and its incarnation
    /// @param service the service of the target beside this node
    /// @param ownership outlives the service
    /// @param members outlives the service
    /// @param store the platform; outlives the service
    /// @param client outlives the service
    /// @param time outlives the service
    ownership_service(owner_identity self,
                      service_name service,
                      key_ownership & ownership,
                      member_directory const & members,
                      object_store & store,
                      control_client & client,
                      clock const & time);
    ownership_service(ownership_service const &) = delete;
    ownership_service & operator=(ownership_service const &) = delete;
    ~ownership_service();

    /// @brief starts the three threads of the service
    /// @pre the control server accepts requests and the member directory is
    ///      started
    void start();

    /// @brief transfers the keys and their records to other nodes
    /// @param wait_limit for the change of owners and the end of the requests
    ///        in flight
    /// @return whether all keys were handed over within the limit
    /// @note thread safety: one thread; blocks; call stop afterwards
    [[nodiscard]] bool leave(absl::Duration wait_limit);

    /// @brief stops the threads
    void stop();

private:
    // calls an action at an interval until stopped
    void run_periodically(absl::Duration interval,
                          std::function<void()> const & action);
    void renew();
    void call_platform();
    void read_assignment();
    void write_assignment(store_call const & call);
    void send_handovers();
    bool send_handover(record_handover const & handover);
    std::optional<member>
    choose_receiver(std::optional<owner_identity> const & leader);

    owner_identity self;
    service_name service;
    key_ownership & ownership;
    member_directory const & members;
    object_store & store;
    control_client & client;
    clock const & time;
    absl::BitGen random;
    mutable absl::Mutex mutex;
    bool is_stopping = false;
    int active_handover_passes = 0;
    std::thread renewal_thread;
    std::thread platform_thread;
    std::thread handover_thread;
};

} // namespace endivehinge::detail

#endif
