#ifndef ENDIVEHINGE_DETAIL_METRICS_METRICS_HPP
#define ENDIVEHINGE_DETAIL_METRICS_METRICS_HPP

#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/metrics/metric_source.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/policy/burn_counter.hpp>

namespace endivehinge::detail
{

/// @brief use of one service's error budget, from the requests that this node
///        received
struct service_burn
{
    service_name service;
    service_objective objective;
    std::vector<burn_window> windows;
};

/// @brief counts outcomes and latencies of the requests of callers
/// @note memory is bounded by the number of configured services
class metrics
{
public:
    /// @param current provides the configured services and their objectives;
    ///        must outlive the metrics
    /// @param time must outlive the metrics
    metrics(configuration_holder const & current, clock const & time);
    metrics(metrics const &) = delete;
    metrics & operator=(metrics const &) = delete;
    ~metrics();

    /// @brief counts one caller's request
    /// @param service requests of services that are not configured are
    ///        ignored
    /// @param kind outcome of the request
    /// @param latency from the first byte of the request to its outcome
    /// @note thread safety: any thread
    void
    record(service_name const & service, outcome_kind kind, duration latency);

    /// @brief adds a component whose samples are part of the exposition
    /// @param source must outlive the metrics
    /// @note thread safety: not synchronized; call it before the first
    ///       exposition
    void add(metric_source const & source);

    /// @brief all metrics in the text exposition format
    /// @note thread safety: any thread
    [[nodiscard]] std::string exposition() const;

    /// @brief error budget use of each configured service that had requests
    /// @note discards the counts of services that were removed from the
    ///       configuration
    /// @note thread safety: any thread
    [[nodiscard]] std::vector<service_burn> burn() const;

private:
    class service_table;

    std::unique_ptr<service_table> services;
    std::vector<metric_source const *> sources;
};

} // namespace endivehinge::detail

#endif
