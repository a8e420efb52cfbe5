#ifndef ENDIVEHINGE_DETAIL_NODE_REQUEST_ROUTER_HPP
#define ENDIVEHINGE_DETAIL_NODE_REQUEST_ROUTER_HPP

#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/random/random.h>           // BitGen
#include <absl/synchronization/mutex.h>   // Mutex

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/node/candidate_cache.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/local_executor.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/policy/placement_policy.hpp>
#include <endivehinge/policy/retry_budget.hpp>
#include <endivehinge/policy/signal_table.hpp>

namespace endivehinge::detail
{

/// @brief what a router works with; all of it outlives the router
struct router_parts
{
    member_directory const & members;
    configuration_holder const & configured;
    local_executor & local;
    remote_executor & remote;
    request_id_source & ids;
    placement_policy const & policy;
    clock const & time;
};

/// @brief places a request on a target, and on another one where that is
///        sure to be right
class request_router
{
public:
    /// @param self this node
    /// @param domain its failure domain
    request_router(node_name self, failure_domain domain, router_parts parts);

    /// @brief gives a request its one outcome
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome route(request placed, int caller_socket);

private:
    candidate_list begin(request const & placed);
    std::optional<std::size_t> choose(std::vector<member> const & list);
    std::vector<placement_candidate>
    describe(std::vector<member> const & list) const;
    outcome
    try_on(member const & chosen, request const & placed, int caller_socket);
    remote_result
    send(member const & chosen, request const & placed, int caller_socket);
    void record(member const & chosen,
                time_point sent_at,
                remote_result const & ended);
    bool may_try_again(outcome const & last, request const & placed);

    node_name self;
    failure_domain domain;
    router_parts parts;
    absl::Mutex mutex;
    absl::BitGen random;
    candidate_cache candidates;
    signal_table signals;
    absl::flat_hash_map<service_name, retry_budget> budgets;
};

} // namespace endivehinge::detail

#endif
