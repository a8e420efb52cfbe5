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

/// @brief why a key owner rejects a request without looking up its key
enum class owner_refusal
{
    none,
    lease_expired, // no valid lease; another node may own the key
    not_owner,     // another node owns the key
};

/// @brief how a key owner must handle a request with a key
struct owner_report
{
    owner_refusal refusal = owner_refusal::none;
    // set if not refused
    key_report key;
    // if started: the dispatch must end by this time, in this epoch
    time_point dispatch_end;
    epoch number;
    // if indeterminate: an earlier owner may still hand over the record
    bool awaits_records = false;

    /// @brief whether the key is new and its request must be dispatched
    [[nodiscard]] bool started() const
    {
        return this->refusal == owner_refusal::none &&
               this->key.decision == key_decision::started;
    }
};

/// @brief a node's role as an owner of keys: its lease, records and handovers
/// @note a pure state machine; thread safety: none, the caller must hold a lock
class key_owner
{
public:
    /// @param self this node and its incarnation
    key_owner(owner_identity self,
              lease_timing const & timing,
              idempotency_limits const & limits);

    /// @brief decides how to handle a request with a key, and records a new key
    /// @note read the clocks after the last lock was acquired, and check
    ///       may_dispatch immediately before the dispatch
    [[nodiscard]] owner_report begin(idempotency_key const & key,
                                     request_fingerprint fingerprint,
                                     clock_reading const & reading);

    /// @brief whether the lease under which a key was started is still valid
    [[nodiscard]] bool may_dispatch(owner_report const & started,
                                    time_point now) const;

    /// @brief records the outcome of a key's request
    /// @return the outcome as stored
    /// @pre begin returned `started`, and finish was not called since then
    std::shared_ptr<outcome const> finish(idempotency_key const & key,
                                          outcome result,
                                          clock_reading const & reading);

    /// @brief applies the response to a renewal, which may arrive late
    /// @param sent when the renewal was sent, by this node's clock
    void apply_grant(lease_grant const & grant,
                     time_point sent,
                     clock_reading const & reading);

    /// @brief imports the records of an earlier owner
    void import_handover(record_handover const & handover,
                         clock_reading const & reading);

    /// @brief removes and returns the handovers to be sent
    [[nodiscard]] std::vector<record_handover> take_handovers();

    /// @brief changes the validity window of all keys
    void set_window(duration window, clock_reading const & reading);

    /// @brief the lease of this owner
    [[nodiscard]] lease_holder & lease();
    [[nodiscard]] lease_holder const & lease() const;

    /// @brief the stored records
    [[nodiscard]] idempotency_table const & records() const;

private:
    void prepare_handovers(std::optional<wall_time> complete_since,
                           clock_reading const & reading);

    owner_identity self;
    lease_timing timing;
    lease_holder holder;
    idempotency_table table;
    std::vector<record_handover> outgoing;
};

} // namespace endivehinge

#endif
