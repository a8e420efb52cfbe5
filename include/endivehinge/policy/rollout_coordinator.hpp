#ifndef ENDIVEHINGE_POLICY_ROLLOUT_COORDINATOR_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_COORDINATOR_HPP

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_entry.hpp>
#include <endivehinge/policy/rollout_exposure_ledger.hpp>
#include <endivehinge/policy/rollout_instruction.hpp>
#include <endivehinge/policy/rollout_judge.hpp>
#include <endivehinge/policy/rollout_schedule.hpp>

namespace endivehinge
{

/// @brief a target of the service, as known to the coordinator
struct rollout_target
{
    node_name node;
    software_version version;
};

/// @brief interval of the coordinator's polls: a fault that shows under full
/// load is found within few of them
constexpr duration rollout_poll_interval = std::chrono::milliseconds(200);

/// @brief the status with which a node takes the role of coordinator; to be
/// written under the entry's version. The stage and share of a running
/// roll-out are kept
/// @param highest_term seen by this node, e.g. by its gate; a store that
/// returned from an older copy may show a lower one
/// @note pure; thread safety: any thread
[[nodiscard]] rollout_status make_takeover_status(rollout_entry const & entry,
                                                  node_name const & self,
                                                  std::uint64_t highest_term);

/// @brief decisions of one coordinator in one term
///
/// Created once the status of the term is confirmed by the store, and discarded
/// when the store shows another status than the one last confirmed or wanted
/// by this object, another order or none. The owner calls in each poll
/// interval: set_targets(), record() for each response, advance(), then sends
/// instruction_for() each target and writes wanted_status(), if any, under the
/// version of the confirmed status.
/// Grants are given only while more than half of the targets' nodes respond: a
/// coordinator that is cut off with few of them may have been replaced.
/// @note pure; not thread-safe, the owner serialises all calls
class rollout_coordinator
{
public:
    /// @param entry with the status of this term, as confirmed by the store
    /// @param order_age time since this node first knew of the order
    rollout_coordinator(rollout_entry const & entry,
                        rollout_exposure_limits const & limits,
                        duration order_age,
                        time_point now);

    /// @brief sets the ready targets of the service
    void set_targets(std::vector<rollout_target> const & known);

    /// @brief records the response to a poll
    /// @param now time of receipt; must not decrease
    void record(rollout_counts const & counts, time_point now);

    /// @brief decides the next step and the grants
    void advance(time_point now);

    /// @brief the instruction for a target's node; each call begins a new one
    [[nodiscard]] rollout_instruction instruction_for(node_name const & node);

    /// @brief the status to write, the same one until it is confirmed; a write
    /// without a response is repeated under the same version. Empty if the
    /// confirmed status stays
    [[nodiscard]] std::optional<rollout_status> const & wanted_status() const;

    /// @brief records that the store holds the wanted status
    void confirm(time_point now);

    /// @brief the status last confirmed
    [[nodiscard]] rollout_status const & status() const;

    /// @brief whether a node obeys a higher term; the owner discards this
    [[nodiscard]] bool is_superseded() const;

    /// @brief the latest judgement, for operators
    [[nodiscard]] rollout_judgement const & judgement() const;

    /// @brief the latest step, for operators
    [[nodiscard]] rollout_step const & step() const;

private:
    struct contact
    {
        rollout_target target;
        std::optional<rollout_counts> report;
        time_point last_report;
    };

    [[nodiscard]] bool is_new(rollout_target const & target) const;
    [[nodiscard]] bool reaches_majority(time_point now) const;
    [[nodiscard]] bool is_already_done(time_point now) const;
    [[nodiscard]] rollout_old_target describe_old(contact const & old,
                                                  time_point now) const;
    [[nodiscard]] bool have_grants_ended(time_point now) const;
    [[nodiscard]] rollout_situation describe(time_point now) const;
    void review_bad_verdict(time_point now);
    void decide(time_point now);
    void want(rollout_state state, std::string const & reason);

    rollout_order order;
    rollout_status confirmed;
    std::optional<rollout_status> wanted;
    rollout_judge judge;
    rollout_exposure_ledger ledger;
    rollout_judgement latest_judgement;
    rollout_step latest_step;
    time_point term_start;
    time_point share_start;
    // estimated time of the order, by this node's clock
    time_point order_start;
    // first of the latest bad judgements in a row
    std::optional<time_point> bad_since;
    // reason to roll back; once set, no grant is given in this term
    std::optional<std::string> withdrawal;
    // last instruction issued, and the first one after the withdrawal
    std::uint64_t sequence = 0;
    std::uint64_t withdrawal_sequence = 0;
    // first instruction after the store confirmed that old targets close
    std::uint64_t closing_sequence = 0;
    bool superseded = false;
    bool had_old_target = false;
    std::map<node_name, contact> contacts;
};

} // namespace endivehinge

#endif
