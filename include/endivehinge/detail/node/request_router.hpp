#ifndef ENDIVEHINGE_DETAIL_NODE_REQUEST_ROUTER_HPP
#define ENDIVEHINGE_DETAIL_NODE_REQUEST_ROUTER_HPP

#include <string> // string
#include <vector> // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/random/random.h>           // BitGen
#include <absl/synchronization/mutex.h>   // Mutex

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/node/local_executor.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/policy/placement_policy.hpp>

namespace endivehinge::detail
{

/// @brief places a request on a target and carries it there
class request_router
{
public:
    /// @param self this node
    /// @param members outlives the router
    /// @param executor the way to the local target; outlives the router
    /// @param remote the way to other nodes; outlives the router
    /// @param ids names each try; outlives the router
    /// @param policy outlives the router
    /// @param time outlives the router
    request_router(node_name self,
                   failure_domain domain,
                   member_directory const & members,
                   local_executor & executor,
                   remote_executor & remote,
                   request_id_source & ids,
                   placement_policy const & policy,
                   clock const & time);

    /// @brief gives a request its one outcome
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome route(request const & placed, int caller_socket);

private:
    std::vector<member> candidates_for(service_name const & service) const;
    std::vector<placement_candidate>
    describe(std::vector<member> const & members) const;
    std::optional<std::size_t>
    choose(std::vector<member> const & members) const;
    outcome
    try_on(member const & chosen, request const & placed, int caller_socket);
    void count(node_name const & node, int change);

    node_name self;
    failure_domain domain;
    member_directory const & members;
    local_executor & executor;
    remote_executor & remote;
    request_id_source & ids;
    placement_policy const & policy;
    clock const & time;
    mutable absl::Mutex mutex;
    mutable absl::BitGen random;
    absl::flat_hash_map<node_name, int> in_flight;
};

} // namespace endivehinge::detail

#endif
