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

/// @brief the burn of one service's objective, as one node saw it
struct service_burn
{
    service_name service;
    service_objective objective;
    std::vector<burn_window> windows;
};

/// @brief counts what callers of this node got
/// @note bounded by the number of configured services
class metrics
{
public:
    /// @param current says which services there are, and their objectives;
    ///        outlives the metrics
    /// @param time outlives the metrics
    metrics(configuration_holder const & current, clock const & time);
    metrics(metrics const &) = delete;
    metrics & operator=(metrics const &) = delete;
    ~metrics();

    /// @brief counts one request of a caller
    /// @param service a configured one; others are not counted
    /// @param kind how it ended
    /// @param latency from its first byte to its outcome
    /// @note thread safety: any thread
    void
    record(service_name const & service, outcome_kind kind, duration latency);

    /// @brief adds a part whose samples are printed with these
    /// @param source outlives the metrics
    /// @note thread safety: before the first exposition
    void add(metric_source const & source);

    /// @brief all samples in the text exposition format
    /// @note thread safety: any thread
    [[nodiscard]] std::string exposition() const;

    /// @brief the burn of each service that had requests
    /// @note thread safety: any thread
    [[nodiscard]] std::vector<service_burn> burn() const;

private:
    class table;

    std::unique_ptr<table> services;
    std::vector<metric_source const *> sources;
};

} // namespace endivehinge::detail

#endif
