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

/// @brief dependencies of a router; all of them outlive it
struct router_dependencies
{
    member_directory const & members;
    configuration_holder const & configured;
    local_executor & local;
    remote_executor & remote;
    request_id_source & ids;
    placement_policy const & policy;
    clock const & time;
};

/// @brief places requests on targets and retries on another target only where
///        that is safe
class request_router
{
public:
    /// @param own_name name of this node
    /// @param own_domain failure domain of this node
    request_router(node_name own_name,
                   failure_domain own_domain,
                   router_dependencies dependencies);

    /// @brief routes a request and returns its only outcome
    /// @param caller_socket socket whose closure cancels the request; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome route(request incoming, int caller_socket);

private:
    candidate_list find_candidates(request const & incoming);
    std::optional<std::size_t>
    choose_candidate(std::vector<member> const & candidate_members);
    std::vector<placement_candidate>
    describe_candidates(std::vector<member> const & candidate_members) const;
    outcome attempt_on(member const & target_node,
                       request const & incoming,
                       int caller_socket);
    remote_execution_result execute_on(member const & target_node,
                                       request const & incoming,
                                       int caller_socket);
    void record_attempt(member const & target_node,
                        time_point sent_at,
                        remote_execution_result const & attempt);
    bool may_retry(outcome const & last_outcome, request const & incoming);

    node_name own_name;
    failure_domain own_domain;
    router_dependencies dependencies;
    absl::Mutex mutex;
    absl::BitGen random;
    candidate_cache candidates;
    signal_table signals;
    absl::flat_hash_map<service_name, retry_budget> retry_budgets;
};

} // namespace endivehinge::detail

#endif
