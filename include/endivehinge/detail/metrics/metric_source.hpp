#ifndef ENDIVEHINGE_DETAIL_METRICS_METRIC_SOURCE_HPP
#define ENDIVEHINGE_DETAIL_METRICS_METRIC_SOURCE_HPP

#include <string> // string
#include <vector> // vector

namespace endivehinge::detail
{

/// @brief how a sample may change
enum class metric_kind
{
    counter,
    gauge,
};

/// @brief one value of one part of the node
struct metric_sample
{
    // without the prefix `endivehinge_`
    std::string name;
    metric_kind kind = metric_kind::gauge;
    double value = 0;
};

/// @brief a part of the node that has values to show
class metric_source
{
public:
    metric_source() = default;
    metric_source(metric_source const &) = delete;
    metric_source & operator=(metric_source const &) = delete;
    virtual ~metric_source() = default;

    /// @brief the values now
    /// @note thread safety: any thread; does not block on I/O
    [[nodiscard]] virtual std::vector<metric_sample> samples() const = 0;
};

} // namespace endivehinge::detail

#endif
