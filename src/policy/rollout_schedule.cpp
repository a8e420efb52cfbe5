#include <endivehinge/policy/rollout_schedule.hpp>

#include <algorithm> // all_of, clamp, max, min

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// part of the limit before which no traffic is moved: at a limit of 12 s it
// covers 3 s in which new targets are cold and the 2 to 3 s after which some
// faults begin
constexpr double trial_part = 0.35;
// until this part of the time limit has passed, a slight doubt about the new
// version delays the next step; afterwards only a strong one does
constexpr double patient_part = 0.6;
// a long limit does not make a longer trial useful
constexpr duration max_trial = seconds(30);
// time for the end of all grants (1 s) and the write of the conclusion
constexpr duration roll_back_reserve = milliseconds(1500);
// a shift takes 1.2 s and the closing of old targets 1.5 s: later it would be
// useless
constexpr duration shift_reserve = seconds(3);
// share of the traffic on the way to all of it: each new target gets half of
// the load of an old one, which shows most faults under load
constexpr double half_share = 0.5;
// time in which nodes learn of the share (0.3 s), slow responses come (0.3 s)
// and three polls show them. A longer time uses up the exposed share
constexpr duration step_time = milliseconds(1200);
// at all traffic, before the old targets are given up
constexpr duration full_share_time = milliseconds(1500);
// an old target that has been silent for so long is not waited for (contactS),
// once the status that closes it had time to reach it by the store
constexpr duration max_silence = seconds(3);
// a good version waits so long past its limit for the last old requests, since
// targets stop without draining: late is better than lost requests
constexpr duration drain_grace = seconds(5);
// requests offered first to the new version on trial; the gates refuse most
constexpr double max_trial_share = 0.75;
// least probability of a good version, before and after the patient part
constexpr double slight_doubt = 0.25;
constexpr double strong_doubt = 0.2;

rollout_step hold(std::string reason)
{
    return {rollout_action::hold, 0, std::move(reason)};
}

rollout_step roll_back(std::string reason)
{
    return {rollout_action::roll_back, 0, std::move(reason)};
}

duration limit_of(rollout_situation const & current)
{
    return std::clamp(
        current.order.length, duration::zero(), max_rollout_length);
}

duration part_of(duration limit, double part)
{
    return std::min(max_trial,
                    duration(static_cast<duration::rep>(
                        part * static_cast<double>(limit.count()))));
}

// Slight doubts delay a step while there is time: a fault on a rare route shows
// only one or two failures at first.
bool is_doubtful(rollout_situation const & current)
{
    bool const is_patient =
        current.elapsed < part_of(limit_of(current), patient_part);
    return current.judgement.least_probability <
               (is_patient ? slight_doubt : strong_doubt) ||
           (is_patient && !current.judgement.all_routes_tried);
}

bool is_past_roll_back_time(rollout_situation const & current)
{
    return current.elapsed >= limit_of(current) - roll_back_reserve;
}

rollout_step conclude_without_evidence(rollout_situation const & current)
{
    if (current.new_targets == 0)
    {
        return roll_back(absl::StrCat("no target of version ",
                                      current.order.target_version.value(),
                                      " reported before the time limit"));
    }
    return roll_back(absl::StrCat("not enough evidence at the time limit: ",
                                  current.judgement.reason));
}

bool is_convincing(rollout_situation const & current)
{
    return current.judgement.verdict == rollout_verdict::good &&
           !is_doubtful(current);
}

rollout_step next_in_trial(rollout_situation const & current)
{
    auto const limit = limit_of(current);
    if (is_past_roll_back_time(current))
    {
        return conclude_without_evidence(current);
    }
    if (!is_convincing(current))
    {
        return hold(current.judgement.reason);
    }
    if (current.elapsed < trial_end_for(current.order))
    {
        return hold("before the end of the trial time");
    }
    if (current.elapsed > limit - shift_reserve)
    {
        return hold("too late to move the traffic before the time limit");
    }
    return {rollout_action::shift, half_share, current.judgement.reason};
}

bool has_ended(rollout_old_target const & target, duration since_share)
{
    bool const is_drained = target.closed && target.in_progress == 0;
    return is_drained ||
           (target.since_contact >= max_silence && since_share >= max_silence);
}

rollout_step next_at_full_share(rollout_situation const & current)
{
    bool const have_ended =
        std::all_of(current.old_targets.begin(),
                    current.old_targets.end(),
                    [&current](rollout_old_target const & target)
                    {
                        return has_ended(target, current.since_share);
                    });
    bool const doubtful = is_doubtful(current);
    if (doubtful && is_past_roll_back_time(current))
    {
        return conclude_without_evidence(current);
    }
    if (doubtful || current.since_share < full_share_time)
    {
        return hold(current.judgement.reason);
    }
    if (have_ended)
    {
        return {rollout_action::complete, 1, current.judgement.reason};
    }
    if (current.elapsed >= limit_of(current) + drain_grace)
    {
        return roll_back("old targets still have requests in progress");
    }
    return hold("old targets have requests in progress");
}

rollout_step next_in_shifting(rollout_situation const & current)
{
    if (current.share >= 1)
    {
        return next_at_full_share(current);
    }
    if (is_past_roll_back_time(current))
    {
        return conclude_without_evidence(current);
    }
    if (current.since_share < step_time || !is_convincing(current))
    {
        return hold(current.judgement.reason);
    }
    return {rollout_action::shift, 1, current.judgement.reason};
}

} // namespace

duration trial_end_for(rollout_order const & order)
{
    return part_of(
        std::clamp(order.length, duration::zero(), max_rollout_length),
        trial_part);
}

rollout_step next_rollout_step(rollout_situation const & current)
{
    if (current.judgement.verdict == rollout_verdict::bad)
    {
        return roll_back(current.judgement.reason);
    }
    return current.stage == rollout_stage::trial ? next_in_trial(current)
                                                 : next_in_shifting(current);
}

double rollout_trial_share(std::size_t new_targets, std::size_t old_targets)
{
    if (new_targets == 0)
    {
        return 0;
    }
    return std::min(
        max_trial_share,
        static_cast<double>(new_targets) /
            static_cast<double>(std::max<std::size_t>(old_targets, 1)));
}

} // namespace endivehinge
