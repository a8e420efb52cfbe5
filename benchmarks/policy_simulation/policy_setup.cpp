#include "policy_setup.hpp"

#include <functional> // function
#include <utility>    // move

#include <endivehinge/policy/load_aware_policy.hpp>

#include "baseline_policies.hpp"

namespace endivehinge::simulation
{
namespace
{

constexpr std::size_t unbounded_queue = 1000000;
constexpr double hedge_share = 0.05;
constexpr double unbounded_retries = 1e6;

// a plain queue before the slots, in the order of arrival
admission_options plain_admission()
{
    admission_options plain;
    plain.concurrency.slow_start = false;
    plain.refuse_late = false;
    plain.order_by_urgency = false;
    plain.bound_wait = false;
    plain.max_queue_size = unbounded_queue;
    return plain;
}

policy_setup baseline(std::string name,
                      std::shared_ptr<placement_policy const> placement)
{
    policy_setup setup;
    setup.name = std::move(name);
    setup.placement = std::move(placement);
    setup.admission = plain_admission();
    setup.signals_with_answers = false;
    setup.retry_share = unbounded_retries;
    return setup;
}

using change = std::function<void(load_aware_options &, policy_setup &)>;

policy_setup without(std::string what, change const & switch_off)
{
    policy_setup setup;
    load_aware_options placement;
    switch_off(placement, setup);
    setup.name = "ours-without-" + std::move(what);
    setup.placement = std::make_shared<load_aware_policy>(placement);
    setup.is_ablation = true;
    return setup;
}

std::vector<policy_setup> ablations()
{
    using place = load_aware_options;
    using setup = policy_setup;
    std::vector<policy_setup> made;
    auto const add = [&made](char const * what, change const & switch_off)
    {
        made.push_back(without(what, switch_off));
    };
    add("room-first",
        [](place & p, setup &)
        {
            p.prefer_spare_capacity = false;
        });
    add("signal-decay",
        [](place & p, setup &)
        {
            p.decay_signals = false;
        });
    add("own-sends",
        [](place & p, setup &)
        {
            p.count_sent_requests = false;
        });
    add("observed",
        [](place & p, setup &)
        {
            p.use_observed_latency = false;
        });
    add("hop",
        [](place & p, setup &)
        {
            p.use_round_trip_time = false;
        });
    add("answer-signals",
        [](place &, setup & s)
        {
            s.signals_with_answers = false;
        });
    add("slow-start",
        [](place &, setup & s)
        {
            s.admission.concurrency.slow_start = false;
        });
    add("refuse-late",
        [](place &, setup & s)
        {
            s.admission.refuse_late = false;
        });
    add("urgency-order",
        [](place &, setup & s)
        {
            s.admission.order_by_urgency = false;
        });
    add("bounded-wait",
        [](place &, setup & s)
        {
            s.admission.bound_wait = false;
        });
    add("admission",
        [](place &, setup & s)
        {
            s.admission = plain_admission();
        });
    add("retries",
        [](place &, setup & s)
        {
            s.retry_share = 0;
        });
    policy_setup hedging;
    hedging.name = "ours-with-hedges";
    hedging.placement = std::make_shared<load_aware_policy>();
    hedging.hedge_share = hedge_share;
    hedging.is_ablation = true;
    made.push_back(hedging);
    return made;
}

} // namespace

std::vector<policy_setup> policy_setup::all()
{
    std::vector<policy_setup> made;
    made.push_back(baseline("random", std::make_shared<random_policy>()));
    made.push_back(
        baseline("round-robin", std::make_shared<round_robin_policy>()));
    made.push_back(baseline("least-in-flight",
                            std::make_shared<least_in_flight_policy>()));
    made.push_back(baseline("two-choices-reported",
                            std::make_shared<two_choices_reported_policy>()));
    policy_setup ours;
    ours.name = "ours";
    ours.placement = std::make_shared<load_aware_policy>();
    made.push_back(ours);
    for (auto & setup : ablations())
    {
        made.push_back(std::move(setup));
    }
    return made;
}

} // namespace endivehinge::simulation
