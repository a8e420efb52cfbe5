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

/// @brief what this node knows of the configuration, and whether it may serve
///        by it; puts each newer one in force
/// @note thread safety: any thread; does not block on I/O
class configuration_replica
{
public:
    /// @param holder gets each newer configuration; outlives the ledger
    explicit configuration_replica(configuration_holder & holder);

    /// @brief takes in changes from the platform or a peer
    /// @return the version before, where anything in them was new
    [[nodiscard]] std::optional<object_version>
    take_in(change_set const & changes);

    /// @brief the changes after a version, as far as one message holds them
    [[nodiscard]] change_set changes_after(object_version after) const;

    /// @brief every change up to this version is known
    [[nodiscard]] object_version version() const;

    /// @brief takes note of whether the platform answered a read
    /// @param reason why it did not
    void note_platform(bool answered, failure const & reason);

    /// @brief takes note of a peer that gave all it has
    void note_peer_answer();

    /// @brief takes note that a fresh node has asked its first peers
    void note_first_peers_asked();

    /// @brief whether the platform ever answered
    [[nodiscard]] bool has_platform_answered() const;

    /// @brief whether the platform and peers, or for want of the platform
    ///        several peers, said what is in force
    [[nodiscard]] bool is_ready() const;

private:
    // the mutex is held
    bool may_serve() const;
    void publish();

    configuration_holder & holder;
    mutable absl::Mutex mutex;
    configuration_state state;
    configuration_assembler assembler;
    bool platform_answered = false;
    bool platform_failed = false;
    bool has_asked_peers = false;
    std::size_t peer_answers = 0;
};

} // namespace endivehinge::detail

#endif
