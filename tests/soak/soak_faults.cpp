#include "soak_faults.hpp"

#include <csignal>  // SIGCONT, SIGKILL, SIGSTOP, SIGTERM
#include <iostream> // cout

namespace endivehinge::tests
{

using std::chrono::milliseconds;

namespace
{

constexpr int shortest_fault_ms = 50;
constexpr int longest_fault_ms = 1500;
// after a fault its connections may still end
constexpr milliseconds aftermath(1500);
// beyond the grace time of a node that was told to stop
constexpr milliseconds stop_reserve(500);
constexpr milliseconds poll_interval(20);
constexpr int longest_delay_ms = 200;

} // namespace

soak_faults::soak_faults(soak_fleet & harmed, soak_plan const & chosen)
    : fleet(harmed)
    , resets(chosen.resets)
    , stop_time(std::chrono::seconds(chosen.grace_s) + stop_reserve)
    , random(chosen.seed + 1)
{
}

void soak_faults::start(duration mean_interval)
{
    this->interval = mean_interval;
    this->active = true;
    this->next();
}

void soak_faults::stop()
{
    this->active = false;
}

std::size_t soak_faults::count() const
{
    return this->drawn;
}

void soak_faults::next()
{
    std::exponential_distribution<double> spread(1);
    this->fleet.after(std::chrono::duration_cast<duration>(
                          this->interval * spread(this->random)),
                      [this]
                      {
                          if (this->active)
                          {
                              this->draw();
                              this->next();
                          }
                      });
}

void soak_faults::draw()
{
    this->drawn += 1;
    auto const index = static_cast<std::size_t>(
        this->pick(0, static_cast<int>(this->fleet.members.size()) - 1));
    milliseconds const span(this->pick(shortest_fault_ms, longest_fault_ms));
    switch (this->pick(0, 3))
    {
    case 0:
        this->harm_node(index, span);
        break;
    case 1:
        this->harm_target(index, span);
        break;
    case 2:
        this->harm_link(index, span);
        break;
    default:
        this->harm_store(span);
        break;
    }
}

// ---------------------------------------------------------------------------
// processes
// ---------------------------------------------------------------------------

void soak_faults::harm_node(std::size_t index, duration span)
{
    auto & node = *this->fleet.members[index]->node;
    switch (this->pick(0, 2))
    {
    case 0:
        this->say("pause_node", index, span);
        this->trouble(index, span);
        this->pause(index, node, span);
        break;
    case 1:
        this->say("kill_node", index, span);
        this->trouble(index, span);
        node.signal(SIGKILL);
        this->restart_node(index, span);
        break;
    default:
        this->say("stop_node", index, span);
        this->trouble(index, span + this->stop_time);
        node.signal(SIGTERM);
        this->restart_node(index, span);
        break;
    }
}

void soak_faults::harm_target(std::size_t index, duration span)
{
    auto & target = *this->fleet.members[index]->target;
    switch (this->pick(0, 2))
    {
    case 0:
        this->say("pause_target", index, span);
        this->target_trouble(index, span);
        this->pause(index, target, span);
        break;
    case 1:
        this->say("kill_target", index, span);
        target.signal(SIGKILL);
        this->restart_target(index, span);
        break;
    default:
        this->say("drain_target", index, span);
        target.signal(SIGTERM);
        this->restart_target(index, span);
        break;
    }
}

void soak_faults::pause(std::size_t index,
                        soak_process & process,
                        duration span)
{
    process.signal(SIGSTOP);
    this->fleet.after(span,
                      [this, index, stopped = &process]
                      {
                          // it may have been replaced meanwhile
                          auto & member = *this->fleet.members[index];
                          if (stopped == member.node.get() ||
                              stopped == member.target.get())
                          {
                              stopped->signal(SIGCONT);
                          }
                      });
}

void soak_faults::restart_node(std::size_t index, duration span)
{
    this->fleet.after(span,
                      [this, index]
                      {
                          if (this->fleet.members[index]->node->runs())
                          {
                              this->restart_node(index, poll_interval);
                              return;
                          }
                          this->trouble(index, aftermath);
                          this->fleet.start_node(index);
                      });
}

void soak_faults::restart_target(std::size_t index, duration span)
{
    this->fleet.after(span,
                      [this, index]
                      {
                          if (this->fleet.members[index]->target->runs())
                          {
                              this->restart_target(index, poll_interval);
                              return;
                          }
                          this->fleet.start_target(index);
                      });
}

// ---------------------------------------------------------------------------
// links and the store
// ---------------------------------------------------------------------------

void soak_faults::harm_link(std::size_t index, duration span)
{
    if (this->resets && this->pick(0, 2) == 0)
    {
        this->cut_with_resets(index, span);
        return;
    }
    auto & member = *this->fleet.members[index];
    auto const which = this->pick(0, 2);
    char const * const names[] = {"client_link", "target_link", "store_link"};
    fault_relay * const links[] = {member.client_link.get(),
                                   member.target_link.get(),
                                   member.store_link.get()};
    auto & link = *links[which];
    if (which == 0)
    {
        this->trouble(index, span);
    }
    else if (which == 1)
    {
        this->target_trouble(index, span);
    }
    relay_faults faults;
    switch (this->pick(0, 3))
    {
    case 0:
        this->say(std::string("reset ") + names[which], index, span);
        link.reset_connections();
        return;
    case 1:
        this->say(std::string("delay ") + names[which], index, span);
        faults.delay_to_server = milliseconds(this->pick(0, longest_delay_ms));
        faults.delay_to_client = milliseconds(this->pick(0, longest_delay_ms));
        break;
    case 2:
        this->say(std::string("cut there ") + names[which], index, span);
        faults.drop_to_server = true;
        break;
    default:
        this->say(std::string("cut back ") + names[which], index, span);
        faults.drop_to_client = true;
        break;
    }
    link.set_faults(faults);
    this->fleet.after(span,
                      [&link]
                      {
                          link.set_faults({});
                          // what was swallowed never comes
                          link.reset_connections();
                      });
}

// Not between a node and its target: no network lies there, so that a reset
// means that the target has ended.
void soak_faults::cut_with_resets(std::size_t index, duration span)
{
    auto & member = *this->fleet.members[index];
    bool const is_store = this->pick(0, 1) == 0;
    auto & link = is_store ? *member.store_link : *member.client_link;
    this->say(
        is_store ? "refuse store_link" : "refuse client_link", index, span);
    if (!is_store)
    {
        this->trouble(index, span);
    }
    relay_faults faults;
    faults.reset_new_connections = true;
    link.set_faults(faults);
    link.reset_connections();
    this->fleet.after(span,
                      [&link]
                      {
                          link.set_faults({});
                      });
}

void soak_faults::harm_store(duration span)
{
    auto & store = this->fleet.store;
    auto const kind = this->pick(0, 8);
    this->say("store " + std::to_string(kind), 0, span);
    switch (kind)
    {
    case 0:
        store.unresponsive = true;
        break;
    case 1:
        store.status = 503;
        break;
    case 2:
        store.withhold_events = true;
        break;
    case 3:
        store.responses_to_drop = 3;
        break;
    case 4:
        store.close_watch_connections();
        break;
    case 5:
        store.discard_history();
        break;
    case 6:
        store.end_watches_without_events();
        break;
    case 7:
        this->fleet.configure();
        break;
    default:
        this->lapse_entry();
        break;
    }
    this->fleet.after(span,
                      [this, &store]
                      {
                          store.unresponsive = this->fleet.store_is_away;
                          store.status = 0;
                          store.deliver_withheld_events();
                      });
}

void soak_faults::lapse_entry()
{
    auto const last = static_cast<int>(this->fleet.members.size()) - 1;
    auto const name = "node-" + std::to_string(this->pick(0, last));
    if (!this->fleet.store.spec("targets", name).is_null())
    {
        std::cout << "lapsed " << name << "\n";
        this->fleet.store.erase("targets", name);
    }
}

// ---------------------------------------------------------------------------
// notes
// ---------------------------------------------------------------------------

void soak_faults::trouble(std::size_t index, duration span)
{
    auto const from = this->fleet.now();
    this->fleet.members[index]->troubles.push_back(
        {from, from + span + aftermath});
}

void soak_faults::target_trouble(std::size_t index, duration span)
{
    auto const from = this->fleet.now();
    this->fleet.members[index]->target_troubles.push_back(
        {from, from + span + aftermath});
}

void soak_faults::say(std::string const & what,
                      std::size_t index,
                      duration span)
{
    std::cout << "fault at_ms=" << this->fleet.now() / milliseconds(1)
              << " what=\"" << what << "\" member=" << index
              << " span_ms=" << span / milliseconds(1) << "\n";
}

int soak_faults::pick(int first, int last)
{
    return std::uniform_int_distribution<int>(first, last)(this->random);
}

} // namespace endivehinge::tests
