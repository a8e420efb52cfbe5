#ifndef ENDIVEHINGE_BENCHMARKS_SIM_NODE_HPP
#define ENDIVEHINGE_BENCHMARKS_SIM_NODE_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <string>  // to_string

#include <endivehinge/policy/admission_controller.hpp>
#include <endivehinge/policy/retry_budget.hpp>
#include <endivehinge/policy/signal_table.hpp>

#include "policy_setup.hpp"
#include "target_fake.hpp"

namespace endivehinge::simulation
{

/// @brief one node and the target beside it
struct sim_node
{
    sim_node(event_loop & events,
             std::uint32_t slots,
             policy_setup const & setup,
             std::size_t index,
             std::uint64_t seed,
             target_fake::on_done done)
        : name("node-" + std::to_string(index))
        , gate(setup.admission)
        , target(events, slots, std::move(done))
        , retries(setup.retry_share)
        , hedges(setup.hedge_share)
        , random(seed * 100 + index)
    {
    }

    node_name name;
    admission_controller gate;
    target_fake target;
    signal_table signals;
    retry_budget retries;
    retry_budget hedges;
    std::mt19937_64 random;
    // as the other nodes know it
    bool accepts_work = true;
    double usual_latency_ns = 0;
};

} // namespace endivehinge::simulation

#endif
