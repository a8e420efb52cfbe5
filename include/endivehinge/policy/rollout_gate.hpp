#ifndef ENDIVEHINGE_POLICY_ROLLOUT_GATE_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_GATE_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_entry.hpp>
#include <endivehinge/policy/rollout_instruction.hpp>

namespace endivehinge
{

/// @brief whether the node beside a target accepts requests during a roll-out
///
/// Beside a new target: only within an unexpired grant, which a node that
/// restarted does not have, or once the version is completed. Beside an old
/// target: until the coordinator, or the status, closes it. Without an entry
/// for the service, and with one that concerns other versions, the gate is
/// open; versions that no order allows are held back by rollout_version_filter.
/// @note pure; not thread-safe, the owner serialises all calls
class rollout_gate
{
public:
    /// @param process this lifetime of the node
    explicit rollout_gate(incarnation process);

    /// @brief sets the version of the target beside this node
    void set_version(software_version const & version);

    /// @brief sets the entry of the service as known from the store; empty if
    /// there is none. To be called only once the node knows the state of the
    /// store. An older version of the entry is ignored. A new order begins
    /// without grants and with counts of 0
    /// @return whether a new order began
    bool set_entry(std::optional<rollout_entry> const & entry);

    /// @brief sets whether rollout_version_filter::allows() this node's own
    /// version; false at first. A node that does not know of an order relies on
    /// it alone
    /// @param sole whether all ready targets of the service have this version;
    /// an order for the version that all targets already run closes no gate. To
    /// be called before set_entry()
    void set_allowed(bool allowed, bool sole);

    /// @brief processes an instruction of a coordinator
    /// @return whether it is obeyed; false for a lower term, an earlier
    /// instruction of the same term, or another order
    bool apply(rollout_instruction const & received);

    /// @brief whether a request may be accepted
    /// @param now by the node's clock that counts suspension
    [[nodiscard]] bool accepts(duration now) const;

    /// @brief counts a request that was accepted
    /// @pre accepts() was true
    void record_accepted();

    /// @brief counts a bad response of the target; a fixed number of them
    /// closes the gate
    void record_failure();

    /// @brief highest term that is obeyed; 0: none
    [[nodiscard]] std::uint64_t term() const;
    /// @brief latest instruction of this term
    [[nodiscard]] std::uint64_t sequence() const;
    /// @brief requests accepted since the order
    [[nodiscard]] std::uint64_t accepted() const;

private:
    [[nodiscard]] bool is_new() const;
    [[nodiscard]] bool accepts_as_new(duration now) const;
    [[nodiscard]] bool accepts_as_old() const;

    incarnation process;
    software_version version;
    std::optional<rollout_entry> entry;
    std::optional<rollout_instruction> instruction;
    // this process first learned of the order while it was running
    bool joined_running = false;
    bool knows_store = false;
    bool is_allowed = false;
    bool is_sole = false;
    // no other version was seen since the order
    bool sole_since_order = false;
    std::uint64_t accepted_count = 0;
    std::uint64_t failure_count = 0;
};

} // namespace endivehinge

#endif
