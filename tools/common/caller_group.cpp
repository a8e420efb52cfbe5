#include <common/caller_group.hpp>

#include <algorithm> // nth_element
#include <cmath>     // ceil
#include <utility>   // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // SleepFor

namespace endivehinge::tools
{
namespace
{

// sets the draws of the callers of one seed far apart
constexpr std::uint64_t seed_step = 1000003;

} // namespace

caller_group::caller_group(caller_group_plan wanted,
                           ingress_list const & all,
                           history_log & log)
    : plan(std::move(wanted))
    , nodes(all)
    , history(log)
{
    this->threads.reserve(this->plan.callers);
    for (std::size_t i = 0; i < this->plan.callers; ++i)
    {
        this->threads.emplace_back(&caller_group::run, this, i);
    }
}

caller_group::~caller_group()
{
    this->stop();
}

void caller_group::stop()
{
    this->stopping = true;
    for (auto & thread : this->threads)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
}

std::uint64_t caller_group::ended() const
{
    return this->ended_count;
}

std::vector<duration> const & caller_group::answer_times() const
{
    return this->times;
}

void caller_group::run(std::size_t index)
{
    call_mix mix(this->plan.kinds,
                 absl::StrCat("c", index),
                 this->plan.seed * seed_step + index);
    caller maker(this->nodes, this->history, mix, this->time);
    while (!this->stopping)
    {
        absl::SleepFor(absl::FromChrono(mix.pause(this->plan.mean_pause)));
        auto const end = maker.make(mix.next(this->time.wall_now()));
        ++this->ended_count;
        if (end.event == history_event::answer)
        {
            absl::MutexLock lock(&this->mutex);
            this->times.push_back(end.took);
        }
    }
}

double quantile_ms(std::vector<duration> times, double share)
{
    if (times.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(times.size())));
    auto const nth =
        times.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
    std::nth_element(times.begin(), nth, times.end());
    return to_milliseconds(*nth);
}

} // namespace endivehinge::tools
