#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_REPLICA_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_REPLICA_HPP

#include <cstddef>  // size_t
#include <optional> // optional

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/configuration_state.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/node/configuration_assembler.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>

namespace endivehinge::detail
{

/// @brief this node's replica of the configuration objects
///
/// Decides whether the replica is recent enough to serve requests by, and puts
/// each newer configuration in force from then on.
/// @note thread safety: any thread; does not block on I/O
class configuration_replica
{
public:
    /// @param holder receives each newer configuration; outlives the replica
    explicit configuration_replica(configuration_holder & holder);

    /// @brief merges changes from the platform or a peer
    /// @return the previous version if the changes contained anything new
    [[nodiscard]] std::optional<object_version>
    merge_changes(change_set const & changes);

    /// @brief returns the changes after a version, up to the size limit of one
    ///        message
    [[nodiscard]] change_set changes_after(object_version after) const;

    /// @brief returns the version up to which the replica has every change
    [[nodiscard]] object_version version() const;

    /// @brief records whether the platform responded to a read
    /// @param reason why the read failed; ignored if it succeeded
    void record_platform_read(bool succeeded, failure const & reason);

    /// @brief records that a peer has sent all of its changes
    void record_peer_response();

    /// @brief records that this node has completed its initial pull from peers
    void record_initial_pull();

    /// @brief whether the platform has ever responded
    [[nodiscard]] bool has_platform_responded() const;

    /// @brief whether the replica is recent enough to serve requests by: the
    ///        platform has responded and the initial pull is complete, or the
    ///        platform is unavailable and several peers have responded
    [[nodiscard]] bool is_ready() const;

private:
    // Both require the mutex to be held.
    bool may_serve() const;
    void publish();

    configuration_holder & holder;
    mutable absl::Mutex mutex;
    configuration_state state;
    configuration_assembler assembler;
    bool platform_responded = false;
    bool platform_failed = false;
    bool initial_pull_complete = false;
    std::size_t peer_response_count = 0;
};

} // namespace endivehinge::detail

#endif
