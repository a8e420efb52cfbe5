#ifndef ENDIVEHINGE_POLICY_ROLLOUT_EXPOSURE_LEDGER_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_EXPOSURE_LEDGER_HPP

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_counts.hpp>
#include <endivehinge/policy/rollout_grant.hpp>
#include <endivehinge/policy/rollout_status.hpp>

namespace endivehinge
{

/// @brief limits of the exposure of a version on trial
struct rollout_exposure_limits
{
    // share of the service's requests that the version may receive
    double share = 0;
    // requests beyond the share
    double slack = 0;
};

/// @brief the grants of one term
///
/// In stage trial the sum of all grants never exceeds half of the exposed share
/// of the arrivals that were reported in this term, plus part of the slack:
/// half of it in the first term, and in each further one half of the part
/// before, as each coordinator needs evidence of its own. The rest is reserved
/// for the time between a fault that shows only in stage shifting and the
/// withdrawal of the version. Grants go to few targets, in bursts at the rate
/// of an old target, so that a fault under load shows. A node that restarted
/// gets no second share: what was granted to the earlier process counts as
/// used.
/// @note pure; not thread-safe, the owner serialises all calls
class rollout_exposure_ledger
{
public:
    /// @param term_of_order number of earlier terms of this order
    rollout_exposure_ledger(software_version target_version,
                            rollout_exposure_limits const & limits,
                            std::uint64_t term_of_order);

    /// @brief records the report of a target's node
    /// @param now time of receipt; must not decrease
    void record(rollout_counts const & counts, time_point now);

    /// @brief discards a target that no longer belongs to the service; what was
    /// granted to it stays used
    void remove(node_name const & node);

    /// @brief distributes what may be granted now
    /// @param stage in shifting, grants follow the share
    /// @param share of requests sent to the new version, 0 to 1
    /// @param full_load in trial: whether to load warm targets like old ones;
    /// else most of the budget is kept for later
    void
    advance(rollout_stage stage, double share, bool full_load, time_point now);

    /// @brief the grant for the node beside a new target, of the latest
    /// advance(); empty if the node has not reported in this term or is old
    [[nodiscard]] std::optional<rollout_grant>
    grant_for(node_name const & node) const;

    /// @brief latest time at which a grant of this term can be in use at the
    /// node; empty if it never had one
    [[nodiscard]] std::optional<time_point>
    latest_expiry(node_name const & node) const;

    /// @brief latest expiry of grants to processes and targets that are gone
    [[nodiscard]] std::optional<time_point> const & expiry_of_removed() const;

    /// @brief sum of all grants of this term, in requests
    [[nodiscard]] double total_granted() const;

    /// @brief requests that the term may grant in stage trial
    [[nodiscard]] double allowed_in_trial() const;

private:
    struct holder
    {
        software_version version;
        incarnation process;
        bool cold = true;
        time_point last_report;
        // the node's clock at that report
        duration reported_at{0};
        std::uint64_t accepted = 0;
        std::uint64_t failures = 0;
        // of the first report of this process lifetime in this term
        std::uint64_t first_accepted = 0;
        std::uint64_t max_accepted = 0;
        std::optional<time_point> expiry;
        std::optional<rollout_grant> grant;
        // requests per second, moving average
        double rate = 0;
        time_point rate_time;
        std::uint64_t rate_accepted = 0;
    };

    [[nodiscard]] bool is_new(holder const & target) const;
    [[nodiscard]] bool is_reachable(holder const & target,
                                    time_point now) const;
    [[nodiscard]] double old_target_rate(time_point now) const;
    [[nodiscard]] std::vector<holder *> trial_targets(time_point now);
    void discard_process(holder const & target);
    [[nodiscard]] double service_rate(time_point now) const;
    void grant_trial(bool full_load, time_point now);
    void grant_share(double share, time_point now);
    static void
    issue(holder & target, std::uint64_t max_accepted, duration validity);

    software_version new_version;
    rollout_exposure_limits limits;
    // part of the slack that this term may use
    double slack;
    double arrivals = 0;
    // granted to processes that ended or targets that were removed
    double used_by_ended = 0;
    // latest expiry of grants to targets that were removed
    std::optional<time_point> removed_expiry;
    std::map<node_name, holder> targets;
};

} // namespace endivehinge

#endif
