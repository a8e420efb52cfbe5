#include <endivehinge/policy/rollout_exposure_ledger.hpp>

#include <algorithm> // max, min
#include <cmath>     // exp, exp2, floor

#include <endivehinge/policy/rollout_trial_targets.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// parts of the exposed share and slack used in stage trial; the rest is
// reserved for a fault that shows only in stage shifting
constexpr double trial_part_of_share = 0.5;
constexpr double trial_part_of_slack = 0.5;
// part of the trial's budget used before the targets are warm; the rest loads
// them like old targets later
constexpr double early_part = 0.25;
// a coordinator that stops leaves no grant in use for longer
constexpr duration trial_validity = seconds(1);
// at all traffic the old targets are closed, so that grants must last until
// another coordinator has taken over (after 1.5 s) and polled. The node beside
// a new target still stops accepting requests after a few bad responses
constexpr duration full_share_validity = seconds(3);
// a grant covers two poll intervals (200 ms), so that a late poll does not
// interrupt the load of a target
constexpr double headroom_seconds = 0.4;
// requests granted per poll to a target that is not to be loaded
constexpr double early_headroom = 2;
// new targets may be loaded somewhat above the mean old one, which varies
constexpr double load_factor = 1.25;
// in stage shifting a grant is this many times the expected requests, plus a
// few, since a grant that ends too early rejects requests
constexpr double shifting_factor = 2;
constexpr double shifting_headroom = 20;
// a node stops sending to the version on trial by itself after so many failures
// that the roll-out's verdict does not include yet: enough failures for a
// verdict, few compared with the 50 after which rollbackS counts
constexpr std::uint64_t max_unjudged_failures = 12;
// a node that has not reported for five polls
constexpr duration max_report_age = seconds(1);
// of the moving average of request rates
constexpr double rate_time_constant_seconds = 1;
constexpr duration min_rate_interval = milliseconds(100);

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

rollout_exposure_ledger::rollout_exposure_ledger(
    software_version target_version,
    rollout_exposure_limits const & exposure_limits,
    std::uint64_t term_of_order)
    : new_version(std::move(target_version))
    , limits(exposure_limits)
    , slack(trial_part_of_slack * exposure_limits.slack /
            std::exp2(static_cast<double>(term_of_order)))
{
}

bool rollout_exposure_ledger::is_new(holder const & target) const
{
    return target.version == this->new_version;
}

bool rollout_exposure_ledger::is_reachable(holder const & target,
                                           time_point now) const
{
    return now - target.last_report <= max_report_age;
}

void rollout_exposure_ledger::discard_process(holder const & target)
{
    if (this->is_new(target))
    {
        this->used_by_ended +=
            static_cast<double>(target.max_accepted - target.first_accepted);
    }
    if (target.expiry)
    {
        this->removed_expiry = std::max(
            this->removed_expiry.value_or(*target.expiry), *target.expiry);
    }
}

void rollout_exposure_ledger::record(rollout_counts const & counts,
                                     time_point now)
{
    auto const total = counts.total();
    auto known = this->targets.find(counts.node);
    if (known != this->targets.end())
    {
        auto const & last = known->second;
        if (counts.process < last.process ||
            (counts.process == last.process &&
             counts.reported_at < last.reported_at))
        {
            return; // a late report
        }
        if (counts.process != last.process || counts.version != last.version ||
            total.arrivals < last.accepted)
        {
            this->remove(counts.node);
            known = this->targets.end();
        }
    }
    if (known == this->targets.end())
    {
        holder first;
        first.process = counts.process;
        first.accepted = total.arrivals;
        first.first_accepted = total.arrivals;
        first.max_accepted = total.arrivals;
        first.rate_accepted = total.arrivals;
        first.rate_time = now;
        known = this->targets.insert_or_assign(counts.node, first).first;
    }
    auto & target = known->second;
    this->arrivals += static_cast<double>(total.arrivals - target.accepted);
    target.version = counts.version;
    target.cold = counts.cold;
    target.last_report = now;
    target.reported_at = counts.reported_at;
    target.accepted = total.arrivals;
    target.failures = total.failures;
    // a node may also have had grants of an earlier term
    target.max_accepted = std::max(target.max_accepted, target.accepted);
    if (now - target.rate_time >= min_rate_interval)
    {
        double const elapsed = to_seconds(now - target.rate_time);
        double const rate =
            static_cast<double>(target.accepted - target.rate_accepted) /
            elapsed;
        double const weight =
            1 - std::exp(-elapsed / rate_time_constant_seconds);
        target.rate += weight * (rate - target.rate);
        target.rate_time = now;
        target.rate_accepted = target.accepted;
    }
}

void rollout_exposure_ledger::remove(node_name const & node)
{
    if (auto const known = this->targets.find(node);
        known != this->targets.end())
    {
        this->discard_process(known->second);
        this->targets.erase(known);
    }
}

double rollout_exposure_ledger::allowed_in_trial() const
{
    return (trial_part_of_share * this->limits.share * this->arrivals) +
           this->slack;
}

double rollout_exposure_ledger::total_granted() const
{
    double sum = this->used_by_ended;
    for (auto const & [node, target] : this->targets)
    {
        if (this->is_new(target))
        {
            sum += static_cast<double>(target.max_accepted -
                                       target.first_accepted);
        }
    }
    return sum;
}

double rollout_exposure_ledger::service_rate(time_point now) const
{
    double sum = 0;
    for (auto const & [node, target] : this->targets)
    {
        sum += this->is_reachable(target, now) ? target.rate : 0;
    }
    return sum;
}

double rollout_exposure_ledger::old_target_rate(time_point now) const
{
    double sum = 0;
    double count = 0;
    for (auto const & [node, target] : this->targets)
    {
        if (!this->is_new(target) && this->is_reachable(target, now))
        {
            sum += target.rate;
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

std::vector<rollout_exposure_ledger::holder *>
rollout_exposure_ledger::trial_targets(time_point now)
{
    std::vector<node_name> new_nodes;
    std::size_t old_targets = 0;
    for (auto const & [node, target] : this->targets)
    {
        if (!this->is_reachable(target, now))
        {
            continue;
        }
        if (this->is_new(target))
        {
            new_nodes.push_back(node);
        }
        else
        {
            ++old_targets;
        }
    }
    std::vector<holder *> chosen;
    for (auto const & node : choose_rollout_trial_targets(
             this->new_version, std::move(new_nodes), old_targets))
    {
        chosen.push_back(&this->targets.at(node));
    }
    return chosen;
}

void rollout_exposure_ledger::advance(rollout_stage stage,
                                      double share,
                                      bool full_load,
                                      time_point now)
{
    if (stage == rollout_stage::trial)
    {
        this->grant_trial(full_load, now);
    }
    else
    {
        this->grant_share(share, now);
    }
}

void rollout_exposure_ledger::grant_trial(bool full_load, time_point now)
{
    auto const chosen = this->trial_targets(now);
    double const load_headroom =
        load_factor * headroom_seconds * this->old_target_rate(now);
    auto remaining = static_cast<double>(chosen.size());
    for (auto * target : chosen)
    {
        bool const is_loaded = full_load && !target->cold;
        double const budget =
            (is_loaded ? 1 : early_part) * this->allowed_in_trial();
        double const available =
            std::max(0.0, budget - this->total_granted()) / remaining--;
        double const wanted =
            static_cast<double>(target->accepted) +
            (is_loaded ? std::max(load_headroom, early_headroom)
                       : early_headroom) -
            static_cast<double>(target->max_accepted);
        auto const increment = static_cast<std::uint64_t>(
            std::floor(std::max(0.0, std::min(wanted, available))));
        issue(*target, target->max_accepted + increment, trial_validity);
    }
}

void rollout_exposure_ledger::grant_share(double share, time_point now)
{
    auto const validity = share >= 1 ? full_share_validity : trial_validity;
    double count = 0;
    for (auto const & [node, target] : this->targets)
    {
        count +=
            this->is_new(target) && this->is_reachable(target, now) ? 1 : 0;
    }
    for (auto & [node, target] : this->targets)
    {
        if (!this->is_new(target) || !this->is_reachable(target, now))
        {
            continue;
        }
        double const expected =
            share * this->service_rate(now) * to_seconds(validity) / count;
        auto const headroom = static_cast<std::uint64_t>(
            (shifting_factor * expected) + shifting_headroom);
        issue(target,
              std::max(target.max_accepted, target.accepted + headroom),
              validity);
    }
}

void rollout_exposure_ledger::issue(holder & target,
                                    std::uint64_t max_accepted,
                                    duration validity)
{
    target.max_accepted = max_accepted;
    // The holder counts the validity from the time at which it sent the report,
    // which is before its receipt here, so its grant never outlasts this
    // expiry.
    target.expiry =
        std::max(target.expiry.value_or(target.last_report + validity),
                 target.last_report + validity);
    target.grant = rollout_grant{target.process,
                                 max_accepted,
                                 target.failures + max_unjudged_failures,
                                 target.reported_at + validity};
}

std::optional<rollout_grant>
rollout_exposure_ledger::grant_for(node_name const & node) const
{
    auto const known = this->targets.find(node);
    return known != this->targets.end() && this->is_new(known->second)
               ? known->second.grant
               : std::nullopt;
}

std::optional<time_point>
rollout_exposure_ledger::latest_expiry(node_name const & node) const
{
    auto const known = this->targets.find(node);
    return known != this->targets.end() ? known->second.expiry : std::nullopt;
}

std::optional<time_point> const &
rollout_exposure_ledger::expiry_of_removed() const
{
    return this->removed_expiry;
}

} // namespace endivehinge
