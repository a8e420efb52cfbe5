#include <endivehinge/policy/load_aware_policy.hpp>

#include <algorithm> // find, max, min, partition_point
#include <cmath>     // exp2
#include <limits>    // numeric_limits

#include <absl/container/inlined_vector.h> // InlinedVector
#include <absl/random/distributions.h>     // Uniform

#include <endivehinge/policy/load_estimate.hpp>

namespace endivehinge
{
namespace
{

constexpr std::size_t typical_sample_size = 8;
// assumed for a target without a load signal
constexpr double default_utilisation = 0.8;
constexpr double default_limit = 10;
constexpr double default_latency_ns = 10e6;
// latencies below this multiple of the best one are treated as equal
constexpr double equal_latency_factor = 1.5;
// a target whose latency reaches this multiple of the best is a straggler
constexpr double straggler_factor = 4;
// an observed latency above this multiple of the response time expected from
// the target's signal replaces the reported latency
constexpr double mismatch_factor = 2;
// a pending request older than this multiple of the expected response time
// counts as an observed latency
constexpr double stall_factor = 3;
// how long a signal that a target accepts no requests stays valid
constexpr std::chrono::seconds rejecting_signal_lifetime(2);
constexpr duration min_service_time = std::chrono::milliseconds(1);

using sample_indices = absl::InlinedVector<std::size_t, typical_sample_size>;
using load_estimates = absl::InlinedVector<load_estimate, typical_sample_size>;
using candidate_list = std::vector<placement_candidate>;

double to_ns(duration value)
{
    return static_cast<double>(value.count());
}

double decay_weight(duration age, duration half_life)
{
    return std::exp2(-std::max(to_ns(age), 0.0) / to_ns(half_life));
}

// Draws count distinct indices from [first, last), or all if there are fewer.
void draw_indices(std::size_t first,
                  std::size_t last,
                  std::size_t count,
                  absl::BitGenRef random,
                  sample_indices & drawn)
{
    std::size_t const available = last - first;
    if (available <= count)
    {
        for (std::size_t index = first; index < last; ++index)
        {
            drawn.push_back(index);
        }
        return;
    }
    // Floyd's algorithm: each round extends the range by one index and takes
    // that index if the drawn one is a repeat.
    auto const begin = drawn.size();
    for (std::size_t end = last - count; end < last; ++end)
    {
        auto const index = absl::Uniform<std::size_t>(random, first, end + 1);
        bool const is_new =
            std::find(drawn.begin() + static_cast<std::ptrdiff_t>(begin),
                      drawn.end(),
                      index) == drawn.end();
        drawn.push_back(is_new ? index : end);
    }
}

sample_indices draw_sample(candidate_list const & candidates,
                           load_aware_options const & options,
                           absl::BitGenRef random)
{
    auto const is_in_local_domain = [](placement_candidate const & candidate)
    {
        return candidate.local || candidate.same_domain;
    };
    auto const remote_domain_begin = std::partition_point(
        candidates.begin(), candidates.end(), is_in_local_domain);
    auto const local_domain_count =
        static_cast<std::size_t>(remote_domain_begin - candidates.begin());
    sample_indices drawn;
    std::size_t first = 0;
    if (local_domain_count > 0 && candidates.front().local)
    {
        // the local target needs no network hop, so it is always sampled
        drawn.push_back(0);
        first = 1;
    }
    std::size_t const local_domain_draws =
        std::max<std::size_t>(options.local_domain_sample, drawn.size()) -
        drawn.size();
    draw_indices(first, local_domain_count, local_domain_draws, random, drawn);
    draw_indices(local_domain_count,
                 candidates.size(),
                 local_domain_count == 0 ? options.local_domain_sample +
                                               options.remote_domain_sample
                                         : options.remote_domain_sample,
                 random,
                 drawn);
    return drawn;
}

// typical values of the sample, used where a target's own are unknown or old
struct typical_load
{
    double utilisation = default_utilisation;
    double limit = default_limit;
    double latency = default_latency_ns;
};

double load_weight(load_signal const & signal,
                   load_aware_options const & options,
                   time_point now)
{
    if (!options.decay_signals)
    {
        return 1;
    }
    duration const service_time = std::max(signal.latency, min_service_time);
    return decay_weight(
        now - signal.received,
        duration(static_cast<duration::rep>(
            options.load_half_life_in_service_times * to_ns(service_time))));
}

double latency_weight(load_signal const & signal,
                      load_aware_options const & options,
                      time_point now)
{
    return options.decay_signals
               ? decay_weight(now - signal.received, options.latency_half_life)
               : 1;
}

typical_load find_typical(candidate_list const & candidates,
                          sample_indices const & sample,
                          load_aware_options const & options,
                          time_point now)
{
    // the default load counts as one fresh signal
    double utilisation_sum = default_utilisation;
    double limit_sum = default_limit;
    double weight_sum = 1;
    double lowest_latency = std::numeric_limits<double>::max();
    for (auto const index : sample)
    {
        auto const & signal = candidates[index].signal;
        if (!signal.has_value() || signal->latency <= duration(0) ||
            signal->limit < 1)
        {
            continue;
        }
        double const weight = load_weight(*signal, options, now);
        double const limit = signal->limit;
        utilisation_sum += weight * signal->in_flight / limit;
        limit_sum += weight * limit;
        weight_sum += weight;
        lowest_latency = std::min(lowest_latency, to_ns(signal->latency));
    }
    typical_load typical;
    typical.utilisation = utilisation_sum / weight_sum;
    typical.limit = limit_sum / weight_sum;
    if (lowest_latency < std::numeric_limits<double>::max())
    {
        typical.latency = lowest_latency;
    }
    return typical;
}

// Replaces the reported latency if observations of this node contradict it.
void apply_observed_latency(load_estimate & reported,
                            placement_candidate const & candidate,
                            load_aware_options const & options,
                            double typical,
                            time_point now)
{
    double const expected = reported.expected_response_time();
    double measured = 0;
    if (candidate.observed_latency.has_value())
    {
        double const weight =
            decay_weight(now - candidate.observed_latency->updated_at,
                         options.latency_half_life);
        measured = (weight * to_ns(candidate.observed_latency->latency)) +
                   ((1 - weight) * typical);
    }
    if (candidate.oldest_sent_at.has_value())
    {
        double const age = to_ns(now - *candidate.oldest_sent_at);
        measured =
            age > stall_factor * expected ? std::max(measured, age) : measured;
    }
    if (measured > mismatch_factor * expected)
    {
        reported.latency = measured;
    }
}

load_estimate estimate(placement_candidate const & candidate,
                       load_aware_options const & options,
                       typical_load const & typical,
                       time_point now)
{
    load_estimate result;
    result.limit = typical.limit;
    result.in_flight = typical.utilisation * typical.limit;
    result.latency = typical.latency;
    result.round_trip_time =
        options.use_round_trip_time ? to_ns(candidate.round_trip_time) : 0;
    if (candidate.signal.has_value())
    {
        load_signal const & reported = *candidate.signal;
        result.rejects_requests =
            reported.limit < 1 &&
            now - reported.received < rejecting_signal_lifetime;
        double const weight = load_weight(reported, options, now);
        result.limit = std::max(reported.limit, 1.0);
        result.in_flight = (weight * reported.in_flight) +
                           ((1 - weight) * typical.utilisation * result.limit);
        if (reported.latency > duration(0))
        {
            double const latency_share = latency_weight(reported, options, now);
            result.latency = (latency_share * to_ns(reported.latency)) +
                             ((1 - latency_share) * typical.latency);
        }
    }
    if (options.count_sent_requests)
    {
        result.in_flight += candidate.sent_since_signal;
    }
    if (options.use_observed_latency)
    {
        apply_observed_latency(
            result, candidate, options, typical.latency, now);
    }
    return result;
}

// Sets similar latencies to the best one, since small differences are random
// and must not outweigh the load. Returns the best latency.
double equalise_latencies(load_estimates & estimates)
{
    double best = std::numeric_limits<double>::max();
    for (auto const & candidate : estimates)
    {
        best = std::min(best, candidate.latency);
    }
    for (auto & candidate : estimates)
    {
        if (candidate.latency < equal_latency_factor * best)
        {
            candidate.latency = best;
        }
    }
    return best;
}

// Spare capacity at a straggler does not make it preferable.
bool has_spare_capacity(load_estimate const & candidate, double best_latency)
{
    return candidate.has_spare_capacity() &&
           candidate.latency < straggler_factor * best_latency;
}

bool is_better(load_estimate const & a,
               load_estimate const & b,
               load_aware_options const & options,
               double best_latency)
{
    if (a.rejects_requests != b.rejects_requests)
    {
        return b.rejects_requests;
    }
    bool const a_has_room = has_spare_capacity(a, best_latency);
    if (options.prefer_spare_capacity &&
        a_has_room != has_spare_capacity(b, best_latency))
    {
        return a_has_room;
    }
    return a.expected_response_time() < b.expected_response_time();
}

} // namespace

load_aware_policy::load_aware_policy(load_aware_options chosen)
    : options(chosen)
{
}

std::optional<std::size_t>
load_aware_policy::choose(candidate_list const & candidates,
                          time_point now,
                          absl::BitGenRef random) const
{
    sample_indices const sample =
        draw_sample(candidates, this->options, random);
    if (sample.empty())
    {
        return std::nullopt;
    }
    typical_load const typical =
        find_typical(candidates, sample, this->options, now);
    load_estimates estimates;
    for (auto const index : sample)
    {
        estimates.push_back(
            estimate(candidates[index], this->options, typical, now));
    }
    double const best_latency = equalise_latencies(estimates);
    // starts at a random candidate to distribute load among equal ones
    auto best = absl::Uniform<std::size_t>(random, 0, estimates.size());
    for (std::size_t next = 0; next < estimates.size(); ++next)
    {
        if (is_better(
                estimates[next], estimates[best], this->options, best_latency))
        {
            best = next;
        }
    }
    return sample[best];
}

} // namespace endivehinge
