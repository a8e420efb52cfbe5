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

/// @brief finds the owners of the keys of all services
///
/// Queries nodes of the service, and the platform only if none of them returns
/// an assignment. Caches the assignment until an owner rejects a request.
class owner_locator
{
public:
    /// @param own_service the service of the target beside this node
    /// @param ownership the key ownership of that service; outlives the locator
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

    /// @brief finds the owner of a key
    /// @param reason no_target if the owner is unknown or not a member
    /// @note thread safety: any thread; blocks on I/O if the service's
    ///       assignment is not cached or is stale
    [[nodiscard]] std::optional<owner_location>
    locate(service_name const & service,
           idempotency_key const & key,
           failure & reason);

    /// @brief marks the cached assignment as stale after an owner rejected a
    ///        request, unless the cached epoch is newer than that of the
    ///        request
    /// @note thread safety: any thread
    void invalidate(service_name const & service, epoch number);

private:
    struct cached_assignment
    {
        std::optional<assignment> value;
        time_point last_fetch_time;
        bool is_stale = true;
    };

    std::optional<assignment> current_assignment(service_name const & service);
    std::optional<assignment> fetch_assignment(service_name const & service);
    std::optional<assignment> query_members(service_name const & service);

    service_name own_service;
    key_ownership const & ownership;
    member_directory const & members;
    object_store & store;
    control_client & client;
    clock const & time;
    absl::Mutex mutex;
    absl::flat_hash_map<service_name, cached_assignment> cached_assignments;
};

} // namespace endivehinge::detail

#endif
