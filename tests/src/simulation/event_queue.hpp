#ifndef ENDIVEHINGE_TESTS_SIMULATION_EVENT_QUEUE_HPP
#define ENDIVEHINGE_TESTS_SIMULATION_EVENT_QUEUE_HPP

#include <functional> // function
#include <map>        // multimap
#include <utility>    // move

#include <endivehinge/core/clock.hpp>

namespace endivehinge::tests
{

/// @brief what happens when, in true time that no node can read
class event_queue
{
public:
    duration now() const
    {
        return this->time;
    }

    void after(duration span, std::function<void()> event)
    {
        this->events.emplace(this->time + span, std::move(event));
    }

    /// @brief takes the next event; false where none is left before the end
    bool step(duration end)
    {
        if (this->events.empty() || this->events.begin()->first > end)
        {
            return false;
        }
        auto const first = this->events.begin();
        this->time = first->first;
        auto const event = std::move(first->second);
        this->events.erase(first);
        event();
        return true;
    }

private:
    duration time{0};
    std::multimap<duration, std::function<void()>> events;
};

} // namespace endivehinge::tests

#endif
