#ifndef ENDIVEHINGE_DETAIL_METRICS_METRIC_SOURCE_HPP
#define ENDIVEHINGE_DETAIL_METRICS_METRIC_SOURCE_HPP

#include <string> // string
#include <vector> // vector

namespace endivehinge::detail
{

/// @brief the type of a metric in the text exposition format
enum class metric_kind
{
    counter,
    gauge,
};

/// @brief the current value of one metric
struct metric_sample
{
    // without the prefix `endivehinge_`, which the exposition adds
    std::string name;
    metric_kind kind = metric_kind::gauge;
    double value = 0;
};

/// @brief a component whose metrics the node exposes
class metric_source
{
public:
    metric_source() = default;
    metric_source(metric_source const &) = delete;
    metric_source & operator=(metric_source const &) = delete;
    virtual ~metric_source() = default;

    /// @brief the current values of all metrics of the component
    /// @note thread safety: any thread; does not block on I/O
    [[nodiscard]] virtual std::vector<metric_sample> samples() const = 0;
};

} // namespace endivehinge::detail

#endif
