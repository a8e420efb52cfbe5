#ifndef ENDIVEHINGE_COORDINATION_KEY_OWNER_HPP
#define ENDIVEHINGE_COORDINATION_KEY_OWNER_HPP

#include <memory>   // shared_ptr
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/coordination/idempotency_table.hpp>
#include <endivehinge/coordination/lease_holder.hpp>
#include <endivehinge/coordination/record_handover.hpp>

namespace endivehinge
{

/// @brief why a key owner refuses before it looks at the key
enum class owner_refusal
{
    none,
    lease_expired, // no lease now; another may own the key
    not_owner,     // another node owns the key
};

/// @brief what a key owner may do for a use of a key
struct owner_report
{
    owner_refusal refusal = owner_refusal::none;
    // where not refused
    key_report key;
    // where started: the dispatch ends by then, under this epoch
    time_point dispatch_end;
    epoch number;
    // where indeterminate: an earlier owner may still hand the record over
    bool awaits_records = false;

    /// @brief whether the key is new and its request is to be dispatched
    [[nodiscard]] bool started() const
    {
        return this->refusal == owner_refusal::none &&
               this->key.decision == key_decision::started;
    }
};

/// @brief a node's part as an owner of keys: lease, records and handovers
/// @note a pure state machine; thread safety: none, hold a lock
class key_owner
{
public:
    /// @param self this node and run
    key_owner(owner_identity self,
              lease_timing const & timing,
              idempotency_limits const & limits);

    /// @brief decides on a use of a key, and records the key where it is new
    /// @note read the clocks after the last lock was taken, and ask
    ///       may_dispatch right before the dispatch
    [[nodiscard]] owner_report begin(idempotency_key const & key,
                                     request_fingerprint fingerprint,
                                     clock_reading const & at);

    /// @brief whether the lease under which a key was started still holds
    [[nodiscard]] bool may_dispatch(owner_report const & started,
                                    time_point now) const;

    /// @brief records how the request of a key ended
    /// @return the outcome as it is kept
    /// @pre begin gave `started`, and finish was not called since
    std::shared_ptr<outcome const> finish(idempotency_key const & key,
                                          outcome result,
                                          clock_reading const & at);

    /// @brief takes in an answer to a renewal, however late
    /// @param sent when the renewal was sent, by this node's clock
    void apply_grant(lease_grant const & grant,
                     time_point sent,
                     clock_reading const & at);

    /// @brief takes in records of an earlier owner
    void import_handover(record_handover const & handed,
                         clock_reading const & at);

    /// @brief the handovers that are to be sent
    [[nodiscard]] std::vector<record_handover> take_handovers();

    /// @brief changes how long keys are valid from now on
    void set_window(duration window, clock_reading const & at);

    /// @brief the lease
    [[nodiscard]] lease_holder & lease();
    [[nodiscard]] lease_holder const & lease() const;

    /// @brief the records
    [[nodiscard]] idempotency_table const & records() const;

private:
    void prepare_handovers(std::optional<wall_time> complete_since,
                           clock_reading const & at);

    owner_identity self;
    lease_timing timing;
    lease_holder holder;
    idempotency_table table;
    std::vector<record_handover> outgoing;
};

} // namespace endivehinge

#endif
