#include "target_fake.hpp"

#include <algorithm> // find_if, max, min
#include <utility>   // move

namespace endivehinge::simulation
{
namespace
{

constexpr double cold_slots_share = 0.15;
constexpr std::chrono::milliseconds warming_step(50);
constexpr int warming_steps = 30;
// while cold, more than this many times what it bears makes it fall over
constexpr double falls_over_above = 1.5;
constexpr double fallen_speed = 0.15;

} // namespace

target_fake::target_fake(event_loop & events,
                         std::uint32_t slot_count,
                         on_done done)
    : loop(events)
    , slots(slot_count)
    , report(std::move(done))
    , warm_slots(slot_count)
{
}

void target_fake::start(ticket_id id, duration work)
{
    this->advance();
    this->by_end.emplace(this->progress + static_cast<double>(work.count()),
                         id);
    this->plan();
}

void target_fake::cancel(ticket_id id)
{
    this->advance();
    auto const found = std::find_if(this->by_end.begin(),
                                    this->by_end.end(),
                                    [id](auto const & entry)
                                    {
                                        return entry.second == id;
                                    });
    if (found != this->by_end.end())
    {
        this->by_end.erase(found);
    }
    this->plan();
}

void target_fake::set_speed(double share)
{
    this->advance();
    this->speed = share;
    this->plan();
}

void target_fake::set_processors(double share)
{
    this->advance();
    this->processors = share;
    this->plan();
}

void target_fake::turn_cold()
{
    this->advance();
    this->warm_slots = this->slots * cold_slots_share;
    this->plan();
    this->loop.after(warming_step,
                     [this]()
                     {
                         this->warm_a_little();
                     });
}

bool target_fake::is_warm() const
{
    return this->warm_slots >= this->slots;
}

std::size_t target_fake::running() const
{
    return this->by_end.size();
}

duration target_fake::overwhelmed_for() const
{
    return this->overwhelmed;
}

void target_fake::warm_a_little()
{
    this->advance();
    if (!this->is_overwhelmed())
    {
        this->warm_slots = std::min(
            this->slots, this->warm_slots + (this->slots / warming_steps));
    }
    this->plan();
    if (!this->is_warm())
    {
        this->loop.after(warming_step,
                         [this]()
                         {
                             this->warm_a_little();
                         });
    }
}

void target_fake::advance()
{
    time_point const now = this->loop.now();
    auto const span = now - this->advanced_to;
    this->progress += static_cast<double>(span.count()) * this->rate();
    if (this->is_overwhelmed())
    {
        this->overwhelmed += span;
    }
    this->advanced_to = now;
}

void target_fake::plan()
{
    std::uint64_t const planned = ++this->plan_count;
    if (this->by_end.empty())
    {
        return;
    }
    double const left =
        std::max(this->by_end.begin()->first - this->progress, 0.0);
    auto const wait =
        duration(static_cast<duration::rep>(left / this->rate()) + 1);
    this->loop.after(wait,
                     [this, planned]()
                     {
                         this->complete(planned);
                     });
}

void target_fake::complete(std::uint64_t planned)
{
    if (planned != this->plan_count)
    {
        return;
    }
    this->advance();
    ticket_id const done = this->by_end.begin()->second;
    this->by_end.erase(this->by_end.begin());
    this->plan();
    this->report(done);
}

double target_fake::bearable() const
{
    return this->warm_slots * this->processors;
}

bool target_fake::is_overwhelmed() const
{
    return !this->is_warm() && static_cast<double>(this->by_end.size()) >
                                   falls_over_above * this->warm_slots;
}

double target_fake::rate() const
{
    double const running =
        std::max(static_cast<double>(this->by_end.size()), 1.0);
    double const shared = std::min(1.0, this->bearable() / running);
    return this->speed * shared * (this->is_overwhelmed() ? fallen_speed : 1.0);
}

} // namespace endivehinge::simulation
