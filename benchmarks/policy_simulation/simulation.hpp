#ifndef ENDIVEHINGE_BENCHMARKS_SIMULATION_HPP
#define ENDIVEHINGE_BENCHMARKS_SIMULATION_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <vector>  // vector

#include "arrivals.hpp"
#include "deployment.hpp"
#include "event_loop.hpp"
#include "fault_case.hpp"
#include "policy_setup.hpp"
#include "run_summary.hpp"
#include "sim_node.hpp"

namespace endivehinge::simulation
{

/// @brief one policy, one case, one load, under a virtual clock
/// @note thread safety: none; one simulation a thread
class deployment_simulation
{
public:
    /// @brief requests before it are run but not counted: every target is new
    static constexpr std::chrono::milliseconds measured_from{500};

    /// @param arrivals outlives the simulation
    deployment_simulation(deployment where,
                          fault_case faults,
                          policy_setup setup,
                          std::vector<arrival> const & arrivals,
                          duration length,
                          std::uint64_t seed);

    /// @brief runs until every request has ended
    [[nodiscard]] run_summary run();

private:
    // one try of one request
    struct attempt
    {
        std::size_t request = 0;
        std::size_t node = 0;
        time_point sent_at;
        time_point reached_at;
        bool is_hedge = false;
        bool over = false;
    };

    struct request_state
    {
        std::vector<std::size_t> attempts;
        std::size_t open_attempts = 0;
        bool over = false;
    };

    // from placement to the caller
    void arrive(std::size_t request);
    bool send(std::size_t request, bool is_hedge);
    [[nodiscard]] std::vector<std::size_t>
    targets_left(std::size_t request) const;
    [[nodiscard]] placement_candidate describe(std::size_t from,
                                               std::size_t to) const;
    void hedge(std::size_t request);
    void take_answer(std::size_t id, load_signal signal, duration at_node);
    void take_refusal(std::size_t id, load_signal signal);
    void cancel_others(std::size_t request, std::size_t winner);
    void end_late(std::size_t request);
    void end_refused(std::size_t request);
    [[nodiscard]] bool is_measured(std::size_t request) const;

    // at the target's node
    void reach(std::size_t id);
    void settle(std::size_t node);
    void start(std::size_t id);
    void refuse(std::size_t id);
    void complete(std::size_t id);
    void withdraw(std::size_t id);

    // faults
    void plan_faults();
    void plan_noise(std::size_t node);
    void plan_straggler();
    void plan_weakness(std::size_t node);
    void plan_drain();
    void plan_cold();
    void plan_domain_out();
    void set_open(std::size_t node, bool open);
    void turn_cold(std::size_t node, bool announced);
    void announce_when_warm(std::size_t node);
    void plan_reports();
    void tell_all(sim_node const & told);
    void announce(std::size_t node, announced_phase phase, std::uint64_t run);

    [[nodiscard]] load_signal told_by(sim_node const & node) const;
    [[nodiscard]] duration travel(std::size_t id) const;
    [[nodiscard]] time_point deadline_of(std::size_t request) const;

    deployment place;
    fault_case faults;
    policy_setup setup;
    std::vector<arrival> const & arrivals;
    duration length;
    std::uint64_t seed;
    event_loop loop;
    std::vector<std::unique_ptr<sim_node>> nodes;
    std::vector<request_state> requests;
    std::vector<attempt> attempts;
    run_summary summary;
};

} // namespace endivehinge::simulation

#endif
