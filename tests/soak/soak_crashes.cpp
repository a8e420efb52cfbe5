#include "soak_crashes.hpp"

namespace endivehinge::tests
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds time_limit(1500);
constexpr milliseconds restart_interval(700);

} // namespace

soak_crashes::soak_crashes(soak_fleet & harmed,
                           soak_clients & senders,
                           std::uint64_t seed)
    : fleet(harmed)
    , clients(senders)
    , random(seed)
{
}

void soak_crashes::start(duration request_interval)
{
    this->interval = request_interval;
    this->active = true;
    this->send_next();
    this->restart_targets();
}

void soak_crashes::stop()
{
    this->active = false;
}

void soak_crashes::send_next()
{
    if (!this->active)
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> member(
        0, this->fleet.members.size() - 1);
    this->clients.send(
        member(this->random), this->next_is_safe, time_limit, "crash");
    this->next_is_safe = !this->next_is_safe;
    this->fleet.after(this->interval,
                      [this]
                      {
                          this->send_next();
                      });
}

void soak_crashes::restart_targets()
{
    if (!this->active)
    {
        return;
    }
    for (std::size_t i = 0; i < this->fleet.members.size(); ++i)
    {
        if (!this->fleet.members[i]->target->runs())
        {
            this->fleet.start_target(i);
        }
    }
    this->fleet.after(restart_interval,
                      [this]
                      {
                          this->restart_targets();
                      });
}

} // namespace endivehinge::tests
