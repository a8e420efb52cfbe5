#include <endivehinge/detail/metrics/metrics.hpp>

#include <array>   // array
#include <chrono>  // duration, duration_cast
#include <utility> // move

#include <absl/container/btree_map.h>              // btree_map
#include <absl/strings/str_cat.h>                  // StrAppend, StrCat
#include <absl/synchronization/mutex.h>            // Mutex
#include <boost/accumulators/accumulators.hpp>     // accumulator_set
#include <boost/accumulators/statistics/count.hpp> // count
#include <boost/accumulators/statistics/extended_p_square.hpp> // quantiles
#include <boost/accumulators/statistics/max.hpp>               // max
#include <boost/accumulators/statistics/stats.hpp>             // stats
#include <boost/accumulators/statistics/sum.hpp>               // sum

namespace endivehinge::detail
{
namespace
{

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

constexpr std::array<double, 4> quantiles = {0.5, 0.9, 0.99, 0.999};
constexpr std::array<outcome_kind, 3> outcome_kinds = {
    outcome_kind::answered,
    outcome_kind::rejected,
    outcome_kind::indeterminate};

using latency_statistics = accumulators::accumulator_set<
    double,
    accumulators::
        stats<tag::count, tag::sum, tag::max, tag::extended_p_square>>;

struct service_metrics
{
    std::array<std::uint64_t, outcome_kinds.size()> outcomes{};
    // latency of answered requests in seconds; other outcomes do not count
    latency_statistics latency{tag::extended_p_square::probabilities =
                                   quantiles};
    burn_counter burn;
};

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

void write_metric_header(std::string & out,
                         char const * name,
                         char const * type,
                         char const * help)
{
    absl::StrAppend(&out, "# HELP endivehinge_", name, " ", help, "\n");
    absl::StrAppend(&out, "# TYPE endivehinge_", name, " ", type, "\n");
}

void write_outcomes(std::string & out,
                    std::string const & service,
                    service_metrics const & statistics)
{
    for (std::size_t i = 0; i < outcome_kinds.size(); ++i)
    {
        absl::StrAppend(&out,
                        "endivehinge_requests_total{service=\"",
                        service,
                        "\",outcome=\"",
                        to_string(outcome_kinds[i]),
                        "\"} ",
                        statistics.outcomes[i],
                        "\n");
    }
}

void write_latency(std::string & out,
                   std::string const & service,
                   service_metrics const & statistics)
{
    std::string const label = absl::StrCat("{service=\"", service, "\"");
    auto const estimates = accumulators::extended_p_square(statistics.latency);
    for (std::size_t i = 0; i < quantiles.size(); ++i)
    {
        absl::StrAppend(&out,
                        "endivehinge_latency_seconds",
                        label,
                        ",quantile=\"",
                        quantiles[i],
                        "\"} ",
                        estimates[static_cast<std::ptrdiff_t>(i)],
                        "\n");
    }
    absl::StrAppend(&out,
                    "endivehinge_latency_seconds_sum",
                    label,
                    "} ",
                    accumulators::sum(statistics.latency),
                    "\n");
    absl::StrAppend(&out,
                    "endivehinge_latency_seconds_count",
                    label,
                    "} ",
                    accumulators::count(statistics.latency),
                    "\n");
}

void write_burn(std::string & out, service_burn const & burn)
{
    for (auto const & window : burn.windows)
    {
        auto const minutes =
            std::chrono::duration_cast<std::chrono::minutes>(window.length);
        absl::StrAppend(&out,
                        "endivehinge_burn_rate{service=\"",
                        burn.service.value(),
                        "\",window=\"",
                        minutes.count(),
                        "m\"} ",
                        burn_rate(window, burn.objective.target_share),
                        "\n");
    }
}

} // namespace

class metrics::service_table
{
public:
    service_table(configuration_holder const & configuration_source,
                  clock const & time_source)
        : current(configuration_source)
        , time(time_source)
    {
    }

    void
    record(service_name const & service, outcome_kind kind, duration latency)
    {
        auto const active_configuration = this->current.current();
        auto const * const service_settings =
            active_configuration->find(service);
        if (service_settings == nullptr)
        {
            return;
        }
        bool const answered = kind == outcome_kind::answered;
        bool const good =
            answered && latency <= service_settings->objective.latency;
        absl::MutexLock lock(&this->mutex);
        service_metrics & statistics =
            this->statistics_by_service[service.value()];
        ++statistics.outcomes[static_cast<std::size_t>(kind)];
        statistics.burn.record(this->time.now(), good);
        if (answered)
        {
            statistics.latency(to_seconds(latency));
        }
    }

    void write(std::string & out) const
    {
        absl::MutexLock lock(&this->mutex);
        write_metric_header(
            out, "requests_total", "counter", "Requests of callers.");
        for (auto const & [name, statistics] : this->statistics_by_service)
        {
            write_outcomes(out, name, statistics);
        }
        write_metric_header(
            out, "latency_seconds", "summary", "Time to a whole answer.");
        for (auto const & [name, statistics] : this->statistics_by_service)
        {
            write_latency(out, name, statistics);
        }
    }

    // Discards the counts of services that are no longer configured, so that
    // memory stays bounded and the exposition omits them.
    std::vector<service_burn> burn()
    {
        auto const active_configuration = this->current.current();
        std::vector<service_burn> result;
        absl::MutexLock lock(&this->mutex);
        for (auto entry = this->statistics_by_service.begin();
             entry != this->statistics_by_service.end();)
        {
            service_name const name(entry->first);
            if (auto const * const service_settings =
                    active_configuration->find(name))
            {
                result.push_back(
                    {name,
                     service_settings->objective,
                     entry->second.burn.windows(this->time.now())});
                ++entry;
            }
            else
            {
                entry = this->statistics_by_service.erase(entry);
            }
        }
        return result;
    }

    object_version version() const
    {
        return this->current.current()->version;
    }

private:
    configuration_holder const & current;
    clock const & time;
    mutable absl::Mutex mutex;
    absl::btree_map<std::string, service_metrics> statistics_by_service;
};

metrics::metrics(configuration_holder const & configuration_source,
                 clock const & time_source)
    : services(
          std::make_unique<service_table>(configuration_source, time_source))
{
}

metrics::~metrics() = default;

void metrics::record(service_name const & service,
                     outcome_kind kind,
                     duration latency)
{
    this->services->record(service, kind, latency);
}

void metrics::add(metric_source const & source)
{
    this->sources.push_back(&source);
}

std::string metrics::exposition() const
{
    std::string out;
    auto const burns = this->burn();
    this->services->write(out);
    write_metric_header(
        out, "burn_rate", "gauge", "Spending of the error budget.");
    for (auto const & burn : burns)
    {
        write_burn(out, burn);
    }
    write_metric_header(
        out, "configuration_version", "gauge", "The version in force.");
    absl::StrAppend(&out,
                    "endivehinge_configuration_version ",
                    this->services->version().value(),
                    "\n");
    for (auto const * const source : this->sources)
    {
        for (auto const & sample : source->samples())
        {
            bool const is_counter = sample.kind == metric_kind::counter;
            absl::StrAppend(&out,
                            "# TYPE endivehinge_",
                            sample.name,
                            is_counter ? " counter\n" : " gauge\n");
            absl::StrAppend(
                &out, "endivehinge_", sample.name, " ", sample.value, "\n");
        }
    }
    return out;
}

std::vector<service_burn> metrics::burn() const
{
    return this->services->burn();
}

} // namespace endivehinge::detail
