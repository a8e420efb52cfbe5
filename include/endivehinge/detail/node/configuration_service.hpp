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

/// @brief keeps the configuration in force up to the platform's and peers'
/// @note two threads: one asks the platform, one exchanges with peers. See
///       docs/design/configuration.md.
class configuration_service final : public configuration_handler
{
public:
    /// @param self this node
    /// @param domain its failure domain
    /// @param store the platform; outlives the service
    /// @param members outlives the service
    /// @param client calls peers; outlives the service
    /// @param holder gets each newer configuration; outlives the service
    /// @param time outlives the service
    configuration_service(node_name self,
                          failure_domain domain,
                          object_store & store,
                          member_directory const & members,
                          control_client & client,
                          configuration_holder & holder,
                          clock const & time);
    ~configuration_service() override;

    /// @brief begins to ask the platform and peers
    /// @note thread safety: once, before stop
    void start();

    /// @brief ends both threads; waits for a call in progress
    /// @note thread safety: one thread; may be called again
    void stop();

    /// @brief takes note that a peer has a version; does not block
    /// @note thread safety: any thread
    void on_peer_version(member const & peer, object_version version);

    /// @brief every change up to this version is in force here
    /// @note thread safety: any thread
    [[nodiscard]] object_version version() const;

    /// @brief whether the platform, or for want of it several peers, said
    ///        what is in force, so that this node may serve by it
    /// @note thread safety: any thread
    [[nodiscard]] bool is_ready() const;

    bool pull(wire::pull_request const & request,
              wire::pull_response & response) override;
    bool push(wire::push_request const & request,
              wire::push_response & response) override;

private:
    // work for the thread that exchanges with peers
    struct task
    {
        enum class kind
        {
            pull,
            push,
        };

        kind what;
        // of a pull: from whom
        endpoint peer;
        // of a pull: what the peer has; of a push: what is after it is new
        object_version version;
    };

    void watch_platform();
    duration read_platform();
    bool holds_watch() const;
    bool is_alone() const;
    bool wait_before_read(duration pause);
    duration read_interval(absl::BitGenRef spread) const;
    void exchange_with_peers();
    void ask_first_peers();
    void do_task(task const & next);
    void pull_from(endpoint const & peer);
    void push_on(object_version after);
    void pull_from_some(std::size_t count);
    bool take_in(change_set const & changes);
    bool wait_stopping(duration patience);
    std::vector<member> choose_peers(std::size_t count);

    node_name self;
    failure_domain domain;
    object_store & store;
    member_directory const & members;
    control_client & client;
    clock const & time;
    configuration_replica ledger;
    absl::Mutex mutex;
    absl::BitGen random;
    backoff platform_backoff;
    token_bucket platform_reads;
    bool stopping = false;
    bounded_queue<task> tasks;
    std::thread watching;
    std::thread exchanging;
};

} // namespace endivehinge::detail

#endif
