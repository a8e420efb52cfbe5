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

/// @brief keeps a node's lease, its keeper's part and its handovers going
class ownership_service
{
public:
    /// @param self this node and run
    /// @param service of the target beside this node
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

    /// @brief begins, on three threads of its own
    /// @pre the control server answers, and the directory is started
    void start();

    /// @brief gives up the keys: others own them, and have the records
    /// @param patience for the owners to change and the requests to end
    /// @return whether it was done in time
    /// @note thread safety: one thread; blocks; call stop afterwards
    [[nodiscard]] bool leave(absl::Duration patience);

    /// @brief ends the threads
    void stop();

private:
    // calls an action now and then until stopped
    void repeat(absl::Duration interval, std::function<void()> const & action);
    void renew();
    void call_platform();
    void read();
    void write(store_call const & call);
    void send_handovers();
    bool send_handover(record_handover const & handed);
    std::optional<member>
    asked_member(std::optional<owner_identity> const & leader);

    owner_identity self;
    service_name service;
    key_ownership & ownership;
    member_directory const & members;
    object_store & store;
    control_client & client;
    clock const & time;
    absl::BitGen random;
    mutable absl::Mutex mutex;
    bool stopping = false;
    int handovers_under_way = 0;
    std::thread renewing;
    std::thread keeping;
    std::thread handing_over;
};

} // namespace endivehinge::detail

#endif
