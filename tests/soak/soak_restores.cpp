#include "soak_restores.hpp"

#include <algorithm> // min
#include <csignal>   // SIGKILL
#include <iostream>  // cout

namespace endivehinge::tests
{

using std::chrono::milliseconds;

namespace
{

constexpr int shortest_absence_ms = 100;
constexpr int longest_absence_ms = 3000;
constexpr int oldest_copy_ms = 10000;
// between two returns in a row
constexpr int longest_presence_ms = 500;
// until the operator has written its newest objects again
constexpr int longest_rewrite_delay_ms = 500;
// one in so many absences begins with the end of all processes
constexpr int absences_per_stop = 8;
// for processes to end after SIGKILL
constexpr milliseconds end_time(50);
// after the end of a node its connections may still end, as in soak_faults
constexpr milliseconds aftermath(1500);

} // namespace

soak_restores::soak_restores(soak_fleet & harmed, std::uint64_t seed)
    : fleet(harmed)
    , random(seed)
{
}

void soak_restores::start(duration mean_interval)
{
    this->interval = mean_interval;
    this->began = this->fleet.now();
    this->active = true;
    this->next();
}

void soak_restores::stop()
{
    if (!this->active)
    {
        return;
    }
    this->active = false;
    this->fleet.evacuate("");
    this->bring_back();
}

std::size_t soak_restores::count() const
{
    return this->restored;
}

void soak_restores::next()
{
    std::exponential_distribution<double> spread(1);
    this->fleet.after(std::chrono::duration_cast<duration>(
                          this->interval * spread(this->random)),
                      [this]
                      {
                          if (this->active)
                          {
                              this->evacuate();
                              this->take_away();
                              this->next();
                          }
                      });
}

void soak_restores::evacuate()
{
    // none of the two domains as often as one of them
    auto const domain = this->pick(0, 3);
    this->fleet.evacuate(domain < 2 ? "zone-" + std::to_string(domain) : "");
}

void soak_restores::take_away()
{
    if (this->fleet.store_is_away)
    {
        return;
    }
    milliseconds const span(
        this->pick(shortest_absence_ms, longest_absence_ms));
    this->fleet.store_is_away = true;
    this->fleet.store.unresponsive = true;
    this->say("store goes away", span);
    if (this->pick(1, absences_per_stop) == 1)
    {
        this->stop_all_processes();
    }
    this->absences += 1;
    this->fleet.after(span,
                      [this, absence = this->absences]
                      {
                          if (absence == this->absences)
                          {
                              this->bring_back();
                          }
                      });
}

void soak_restores::stop_all_processes()
{
    this->say("all processes end", end_time);
    auto const now = this->fleet.now();
    for (auto const & member : this->fleet.members)
    {
        member->troubles.push_back({now, now + end_time + aftermath});
        member->node->signal(SIGKILL);
        member->target->signal(SIGKILL);
    }
    this->fleet.after(end_time,
                      [this]
                      {
                          this->bring_back();
                          this->fleet.start_ended_processes();
                      });
}

void soak_restores::bring_back()
{
    if (!this->fleet.store_is_away)
    {
        return;
    }
    // the first configuration is written before traffic begins
    auto const age =
        std::min<duration>(milliseconds(this->pick(0, oldest_copy_ms)),
                           this->fleet.now() - this->began);
    this->restored += 1;
    this->say("store returns from a copy", age);
    this->fleet.store_is_away = false;
    this->fleet.store.restore_copy_of_age(age);
    this->fleet.store.unresponsive = false;
    this->fleet.after(milliseconds(this->pick(0, longest_rewrite_delay_ms)),
                      [this]
                      {
                          this->fleet.write_again();
                      });
    if (this->active && this->pick(0, 2) == 0)
    {
        this->fleet.after(milliseconds(this->pick(0, longest_presence_ms)),
                          [this]
                          {
                              if (this->active)
                              {
                                  this->take_away();
                              }
                          });
    }
}

void soak_restores::say(std::string const & what, duration span) const
{
    std::cout << "fault at_ms=" << this->fleet.now() / milliseconds(1)
              << " what=\"" << what << "\" span_ms=" << span / milliseconds(1)
              << std::endl;
}

int soak_restores::pick(int first, int last)
{
    return std::uniform_int_distribution<int>(first, last)(this->random);
}

} // namespace endivehinge::tests
