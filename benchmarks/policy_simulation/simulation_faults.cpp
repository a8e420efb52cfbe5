#include "simulation.hpp"

namespace endivehinge::simulation
{
namespace
{

// from the operators' change until every node acts on it
constexpr std::chrono::milliseconds dissemination(500);
constexpr std::chrono::milliseconds report_interval(100);
constexpr std::chrono::milliseconds report_travel(10);
constexpr std::chrono::milliseconds warmth_poll(20);
constexpr std::uint64_t next_run = 2;

} // namespace

void deployment_simulation::plan_faults()
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
    {
        this->plan_noise(node);
        if (this->faults.is_weak(node))
        {
            this->plan_weakness(node);
        }
    }
    if (this->faults.straggler)
    {
        this->plan_straggler();
    }
    if (this->faults.drain)
    {
        this->plan_drain();
    }
    if (this->faults.cold)
    {
        this->plan_cold();
    }
    if (this->faults.domain_out)
    {
        this->plan_domain_out();
    }
    if (!this->setup.signals_with_answers)
    {
        this->plan_reports();
    }
}

// on every other target the neighbour slows each request; on the rest it
// takes processors
void deployment_simulation::plan_noise(std::size_t node)
{
    bool const drags =
        this->faults.straggler && node == fault_case::struck_instance;
    if (drags)
    {
        return;
    }
    for (auto const & burst :
         this->faults.bursts(node, this->length, this->seed))
    {
        auto const set = [this, node](double left)
        {
            target_fake & target = this->nodes[node]->target;
            if (node % 2 == 0)
            {
                target.set_speed(left);
            }
            else
            {
                target.set_processors(left);
            }
        };
        this->loop.at(burst.begin,
                      [set]()
                      {
                          set(fault_case::noise_left);
                      });
        this->loop.at(burst.end,
                      [set]()
                      {
                          set(1);
                      });
    }
}

void deployment_simulation::plan_weakness(std::size_t node)
{
    auto const set = [this, node](double left)
    {
        this->nodes[node]->target.set_processors(left);
    };
    this->loop.at(this->faults.begin,
                  [set]()
                  {
                      set(fault_case::weak_processors);
                  });
    this->loop.at(this->faults.end,
                  [set]()
                  {
                      set(1);
                  });
}

void deployment_simulation::plan_straggler()
{
    auto const set = [this](double speed)
    {
        this->nodes[fault_case::struck_instance]->target.set_speed(speed);
    };
    this->loop.at(this->faults.begin,
                  [set]()
                  {
                      set(fault_case::straggler_speed);
                  });
    this->loop.at(this->faults.end,
                  [set]()
                  {
                      set(1);
                  });
}

// the target says so at once; its node tells the others; it comes back cold
void deployment_simulation::plan_drain()
{
    constexpr std::size_t node = fault_case::struck_instance;
    this->loop.at(this->faults.begin,
                  [this]()
                  {
                      this->announce(node, announced_phase::draining, 1);
                  });
    this->loop.at(this->faults.begin + dissemination,
                  [this]()
                  {
                      this->set_open(node, false);
                  });
    this->loop.at(this->faults.end,
                  [this]()
                  {
                      this->set_open(node, true);
                      this->turn_cold(node, true);
                  });
}

void deployment_simulation::plan_cold()
{
    this->loop.at(this->faults.begin,
                  [this]()
                  {
                      this->turn_cold(fault_case::struck_instance, true);
                      this->turn_cold(fault_case::struck_silently, false);
                  });
}

void deployment_simulation::plan_domain_out()
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
    {
        if (this->place.instances[node].domain != fault_case::struck_domain)
        {
            continue;
        }
        this->loop.at(this->faults.begin + dissemination,
                      [this, node]()
                      {
                          this->set_open(node, false);
                          this->announce(node, announced_phase::draining, 1);
                      });
        this->loop.at(this->faults.end,
                      [this, node]()
                      {
                          this->set_open(node, true);
                          this->announce(node, announced_phase::ready, 1);
                      });
    }
}

void deployment_simulation::set_open(std::size_t node, bool open)
{
    this->nodes[node]->accepts_work = open;
}

void deployment_simulation::turn_cold(std::size_t node, bool announced)
{
    this->nodes[node]->target.turn_cold();
    if (announced)
    {
        this->announce(node, announced_phase::cold, next_run);
        this->announce_when_warm(node);
    }
}

void deployment_simulation::announce_when_warm(std::size_t node)
{
    this->loop.after(warmth_poll,
                     [this, node]()
                     {
                         if (this->nodes[node]->target.is_warm())
                         {
                             this->announce(
                                 node, announced_phase::ready, next_run);
                             return;
                         }
                         this->announce_when_warm(node);
                     });
}

// each target's health end point is read now and then, and told to all
void deployment_simulation::plan_reports()
{
    for (time_point due; due < time_point(this->length); due += report_interval)
    {
        this->loop.at(due,
                      [this]()
                      {
                          for (auto const & told : this->nodes)
                          {
                              this->tell_all(*told);
                          }
                      });
    }
}

void deployment_simulation::tell_all(sim_node const & told)
{
    load_signal signal = this->told_by(told);
    signal.received += report_travel;
    this->loop.after(report_travel,
                     [this, &told, signal]()
                     {
                         for (auto const & node : this->nodes)
                         {
                             node->signals.record_signal(told.name, signal);
                         }
                     });
}

void deployment_simulation::announce(std::size_t node,
                                     announced_phase phase,
                                     std::uint64_t run)
{
    this->nodes[node]->gate.announce({phase, this->place.slots, run});
    this->settle(node);
}

} // namespace endivehinge::simulation
