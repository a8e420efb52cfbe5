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

constexpr std::size_t usual_sample = 8;
// of a target of which nothing is known
constexpr double usual_utilisation = 0.8;
constexpr double usual_limit = 10;
constexpr double usual_latency_ns = 10e6;
// latencies nearer than this to the best are taken for the same
constexpr double same_latency_factor = 1.5;
// a latency above this multiple of the best makes a straggler
constexpr double straggler_factor = 4;
// own latencies above this multiple of the told one make it a lie
constexpr double lie_factor = 2;
constexpr double stalled_factor = 3;
// how long a target that takes no work is left alone
constexpr std::chrono::seconds closed_memory(2);
constexpr duration shortest_run = std::chrono::milliseconds(1);

using sample_indices = absl::InlinedVector<std::size_t, usual_sample>;
using load_estimates = absl::InlinedVector<load_estimate, usual_sample>;
using candidate_list = std::vector<placement_candidate>;

double to_ns(duration span)
{
    return static_cast<double>(span.count());
}

double share_left(duration age, duration half_life)
{
    return std::exp2(-std::max(to_ns(age), 0.0) / to_ns(half_life));
}

// draws distinct indices in [first, last); all of them where there are few
void draw(std::size_t first,
          std::size_t last,
          std::size_t wanted,
          absl::BitGenRef random,
          sample_indices & drawn)
{
    std::size_t const here = last - first;
    if (here <= wanted)
    {
        for (std::size_t index = first; index < last; ++index)
        {
            drawn.push_back(index);
        }
        return;
    }
    // Floyd's: each round draws from one more and takes the end on a repeat
    auto const begin = drawn.size();
    for (std::size_t end = last - wanted; end < last; ++end)
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
    auto const is_near = [](placement_candidate const & candidate)
    {
        return candidate.local || candidate.same_domain;
    };
    auto const far_begin =
        std::partition_point(candidates.begin(), candidates.end(), is_near);
    auto const near_count =
        static_cast<std::size_t>(far_begin - candidates.begin());
    sample_indices drawn;
    std::size_t first = 0;
    if (near_count > 0 && candidates.front().local)
    {
        // the local one saves a hop: weighed each time
        drawn.push_back(0);
        first = 1;
    }
    std::size_t const near_wanted =
        std::max<std::size_t>(options.near_sample, drawn.size()) - drawn.size();
    draw(first, near_count, near_wanted, random, drawn);
    draw(near_count,
         candidates.size(),
         near_count == 0 ? options.near_sample + options.far_sample
                         : options.far_sample,
         random,
         drawn);
    return drawn;
}

// what the sample has in common, for filling in what is not known
struct usual_load
{
    double utilisation = usual_utilisation;
    double limit = usual_limit;
    double latency = usual_latency_ns;
};

double load_weight(load_signal const & signal,
                   load_aware_options const & options,
                   time_point now)
{
    if (!options.decay_signals)
    {
        return 1;
    }
    duration const run = std::max(signal.latency, shortest_run);
    return share_left(now - signal.received,
                      duration(static_cast<duration::rep>(
                          options.load_half_life_in_runs * to_ns(run))));
}

double latency_weight(load_signal const & signal,
                      load_aware_options const & options,
                      time_point now)
{
    return options.decay_signals
               ? share_left(now - signal.received, options.latency_half_life)
               : 1;
}

usual_load find_usual(candidate_list const & candidates,
                      sample_indices const & sample,
                      load_aware_options const & options,
                      time_point now)
{
    // what is usual without any signal counts as one fresh signal
    double utilisation_sum = usual_utilisation;
    double limit_sum = usual_limit;
    double known = 1;
    double lowest = std::numeric_limits<double>::max();
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
        known += weight;
        lowest = std::min(lowest, to_ns(signal->latency));
    }
    usual_load usual;
    usual.utilisation = utilisation_sum / known;
    usual.limit = limit_sum / known;
    if (lowest < std::numeric_limits<double>::max())
    {
        usual.latency = lowest;
    }
    return usual;
}

// what was seen from here counts where it contradicts what was told
void believe_own_eyes(load_estimate & told,
                      placement_candidate const & candidate,
                      load_aware_options const & options,
                      double usual,
                      time_point now)
{
    double const expected = told.answer_time();
    double seen = 0;
    if (candidate.observed_latency.has_value())
    {
        double const left = share_left(now - candidate.observed_latency->at,
                                       options.latency_half_life);
        seen = (left * to_ns(candidate.observed_latency->latency)) +
               ((1 - left) * usual);
    }
    if (candidate.waiting_since.has_value())
    {
        double const age = to_ns(now - *candidate.waiting_since);
        seen = age > stalled_factor * expected ? std::max(seen, age) : seen;
    }
    if (seen > lie_factor * expected)
    {
        told.latency = seen;
    }
}

load_estimate estimate(placement_candidate const & candidate,
                       load_aware_options const & options,
                       usual_load const & usual,
                       time_point now)
{
    load_estimate found;
    found.limit = usual.limit;
    found.in_flight = usual.utilisation * usual.limit;
    found.latency = usual.latency;
    found.round_trip_time =
        options.use_round_trip_time ? to_ns(candidate.round_trip_time) : 0;
    if (candidate.signal.has_value())
    {
        load_signal const & told = *candidate.signal;
        found.closed = told.limit < 1 && now - told.received < closed_memory;
        double const left = load_weight(told, options, now);
        found.limit = std::max(told.limit, 1.0);
        found.in_flight = (left * told.in_flight) +
                          ((1 - left) * usual.utilisation * found.limit);
        if (told.latency > duration(0))
        {
            double const kept = latency_weight(told, options, now);
            found.latency =
                (kept * to_ns(told.latency)) + ((1 - kept) * usual.latency);
        }
    }
    if (options.count_sent_requests)
    {
        found.in_flight += candidate.sent_since_signal;
    }
    if (options.use_observed_latency)
    {
        believe_own_eyes(found, candidate, options, usual.latency, now);
    }
    return found;
}

// small differences of latency are chance: they must not outweigh the load;
// gives the best latency
double level_latencies(load_estimates & estimates)
{
    double best = std::numeric_limits<double>::max();
    for (auto const & each : estimates)
    {
        best = std::min(best, each.latency);
    }
    for (auto & each : estimates)
    {
        if (each.latency < same_latency_factor * best)
        {
            each.latency = best;
        }
    }
    return best;
}

// room at a straggler is no reason to go there
bool has_room(load_estimate const & each, double best_latency)
{
    return each.has_room() && each.latency < straggler_factor * best_latency;
}

bool is_better(load_estimate const & a,
               load_estimate const & b,
               load_aware_options const & options,
               double best_latency)
{
    if (a.closed != b.closed)
    {
        return b.closed;
    }
    bool const a_has_room = has_room(a, best_latency);
    if (options.prefer_spare_capacity &&
        a_has_room != has_room(b, best_latency))
    {
        return a_has_room;
    }
    return a.answer_time() < b.answer_time();
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
    usual_load const usual = find_usual(candidates, sample, this->options, now);
    load_estimates estimates;
    for (auto const index : sample)
    {
        estimates.push_back(
            estimate(candidates[index], this->options, usual, now));
    }
    double const best_latency = level_latencies(estimates);
    // from a random start, so that equals share
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
