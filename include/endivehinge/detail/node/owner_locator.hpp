#ifndef ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATOR_HPP
#define ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATOR_HPP

#include <optional> // optional

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/synchronization/mutex.h>   // Mutex

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>
#include <endivehinge/detail/node/owner_location.hpp>

namespace endivehinge::detail
{

/// @brief finds the owners of keys, of every service
///
/// Asks a node of the service, and the platform only where none knows; keeps
/// what it heard until an owner refuses.
class owner_locator
{
public:
    /// @param own_service of the target beside this node
    /// @param ownership of that service; outlives the locator
    /// @param members outlives the locator
    /// @param store the platform; outlives the locator
    /// @param client outlives the locator
    /// @param time outlives the locator
    owner_locator(service_name own_service,
                  key_ownership const & ownership,
                  member_directory const & members,
                  object_store & store,
                  control_client & client,
                  clock const & time);

    /// @brief the owner of a key
    /// @param reason no_target where the owner is not known, or not there
    /// @note thread safety: any thread; blocks on I/O where nothing is known
    [[nodiscard]] std::optional<owner_location>
    locate(service_name const & service,
           idempotency_key const & key,
           failure & reason);

    /// @brief an owner refused under an epoch: by then there may be a newer
    /// @note thread safety: any thread
    void invalidate(service_name const & service, epoch number);

private:
    struct known_assignment
    {
        std::optional<assignment> value;
        time_point fetched;
        bool is_doubted = true;
    };

    std::optional<assignment> find(service_name const & service);
    std::optional<assignment> fetch(service_name const & service);
    std::optional<assignment> ask_member(service_name const & service);

    service_name own_service;
    key_ownership const & ownership;
    member_directory const & members;
    object_store & store;
    control_client & client;
    clock const & time;
    absl::Mutex mutex;
    absl::flat_hash_map<service_name, known_assignment> known;
};

} // namespace endivehinge::detail

#endif
