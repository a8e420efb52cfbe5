#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_SERVICE_HPP

#include <cstddef> // size_t
#include <thread>  // thread
#include <vector>  // vector

#include <absl/random/bit_gen_ref.h>    // BitGenRef
#include <absl/random/random.h>         // BitGen
#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/backoff.hpp>
#include <endivehinge/coordination/member.hpp>
#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/core/bounded_queue.hpp>
#include <endivehinge/core/token_bucket.hpp>
#include <endivehinge/detail/control/configuration_handler.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/configuration_replica.hpp>

namespace endivehinge::detail
{

/// @brief keeps the configuration up to date with the platform and peers
/// @note Two threads: one reads the platform, one exchanges with peers. See
///       docs/design/configuration.md.
class configuration_service final : public configuration_handler
{
public:
    /// @param self this node
    /// @param domain this node's failure domain
    /// @param store the platform; outlives the service
    /// @param members outlives the service
    /// @param client sends requests to peers; outlives the service
    /// @param holder receives each newer configuration; outlives the service
    /// @param time outlives the service
    configuration_service(node_name self,
                          failure_domain domain,
                          object_store & store,
                          member_directory const & members,
                          control_client & client,
                          configuration_holder & holder,
                          clock const & time);
    ~configuration_service() override;

    /// @brief starts the threads that query the platform and peers
    /// @note thread safety: call once, before stop
    void start();

    /// @brief stops both threads; waits for a call in progress
    /// @note thread safety: one thread; may be called again
    void stop();

    /// @brief schedules a pull if the peer's version is newer; does not block
    /// @note thread safety: any thread
    void on_peer_version(member const & peer, object_version version);

    /// @brief returns the version up to which this node has every change
    /// @note thread safety: any thread
    [[nodiscard]] object_version version() const;

    /// @brief whether this node's configuration is recent enough to serve
    ///        requests by: the platform has responded and the initial pull is
    ///        complete, or the platform is unavailable and several peers have
    ///        responded
    /// @note thread safety: any thread
    [[nodiscard]] bool is_ready() const;

    bool pull(wire::pull_request const & request,
              wire::pull_response & response) override;
    bool push(wire::push_request const & request,
              wire::push_response & response) override;

private:
    // a unit of work for the peer thread
    struct exchange_task
    {
        enum class kind
        {
            pull,
            push,
        };

        kind action;
        // the peer to pull from; unused for a push
        endpoint peer;
        // pull: the version that the peer has; push: the version after which
        // changes are sent
        object_version version;
    };

    void watch_platform();
    duration read_platform();
    bool is_designated_watcher() const;
    bool has_no_known_peers() const;
    bool wait_for_next_read(duration delay);
    duration read_interval(absl::BitGenRef random_source) const;
    void exchange_with_peers();
    void pull_initial_configuration();
    void execute_task(exchange_task const & next);
    void pull_from(endpoint const & peer);
    void push_changes_after(object_version after);
    void pull_from_random_peers(std::size_t count);
    bool merge_changes(change_set const & changes);
    bool wait_for_stop(duration wait_limit);
    std::vector<member> choose_peers(std::size_t count);

    node_name self;
    failure_domain domain;
    object_store & store;
    member_directory const & members;
    control_client & client;
    clock const & time;
    configuration_replica replica;
    absl::Mutex mutex;
    absl::BitGen random;
    backoff platform_backoff;
    token_bucket platform_reads;
    bool is_stopping = false;
    bounded_queue<exchange_task> tasks;
    std::thread platform_thread;
    std::thread peer_thread;
};

} // namespace endivehinge::detail

#endif
