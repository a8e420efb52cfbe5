#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_CONTROL_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_CONTROL_HPP

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/call_result.hpp>
#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/rollout_write.hpp>
#include <endivehinge/policy/rollout_coordinator.hpp>
#include <endivehinge/policy/rollout_election.hpp>

namespace endivehinge::detail
{

/// @brief coordinates the roll-out of this node's service when the election
/// says so, and answers the polls of other coordinators
///
/// All decisions are those of rollout_coordinator; this class polls the nodes
/// beside the targets and writes the status. Does nothing where roll-outs are
/// not in force.
/// @note thread safety: none; used on the event loop only
class rollout_control
{
public:
    rollout_control(gateway_state & shared, replica_sync & sync);

    /// @brief starts to look after the roll-out of this node's service
    /// @pre called once
    void start();

    /// @brief answers a poll
    void serve(exchange & incoming);

    /// @brief whether this node is the coordinator of a running roll-out
    [[nodiscard]] bool is_coordinator() const;

    /// @brief the known roll-outs, and the reasons for the current stage, as
    /// JSON text for operators
    [[nodiscard]] std::string describe();

private:
    void arm_timer();
    void tick();
    void review(known_rollout const & known);
    void consider_takeover(rollout_entry const & entry);
    [[nodiscard]] std::vector<rollout_candidate> candidates() const;
    [[nodiscard]] std::vector<target_entry const *> targets() const;
    /// @brief compares the status that the store shows with the own one
    /// @return whether this node is still the coordinator
    [[nodiscard]] bool is_in_charge(rollout_entry const & entry);
    void run_term(rollout_entry const & entry);
    void poll(target_entry const & target);
    void record(rollout_counts const & counts, std::uint64_t term);
    void on_poll_response(endpoint const & peer,
                          std::uint64_t term,
                          call_result const & result);
    void write(rollout_entry const & base, rollout_status const & status);
    void on_written(rollout_entry const & base,
                    rollout_status const & status,
                    rollout_write_result const & result);
    void begin_term(rollout_entry const & entry);
    void confirm_status();
    void end_term(char const * reason);
    void log_step();

    gateway_state & state;
    replica_sync & replicas;
    service_name service;
    boost::asio::steady_timer timer;
    std::unique_ptr<rollout_coordinator> coordinator;
    // of the coordinator's term
    rollout_order order;
    bool writing = false;
    // with which this node tries to take the role; a write without a response
    // may have been applied
    std::optional<rollout_status> attempted_takeover;
    // expires with this object; calls that end later are ignored
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
    // the step that the last log line reported
    std::string logged_step;
};

} // namespace endivehinge::detail

#endif
