#ifndef ENDIVEHINGE_BENCHMARKS_EVENT_LOOP_HPP
#define ENDIVEHINGE_BENCHMARKS_EVENT_LOOP_HPP

#include <cstdint>    // uint64_t
#include <functional> // function
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge::simulation
{

/// @brief runs what is due in the order of a virtual clock
/// @note thread safety: none; one loop a thread
class event_loop
{
public:
    using action = std::function<void()>;

    /// @brief the virtual time
    [[nodiscard]] time_point now() const
    {
        return this->current;
    }

    /// @brief runs an action at a time; equal times run in the order given
    void at(time_point due, action what)
    {
        this->events.push({due, this->next_order++, std::move(what)});
    }

    /// @brief runs an action after a span
    void after(duration span, action what)
    {
        this->at(this->current + span, std::move(what));
    }

    /// @brief runs until nothing is left
    void run()
    {
        while (!this->events.empty())
        {
            event next = this->events.top();
            this->events.pop();
            this->current = next.due;
            next.what();
        }
    }

private:
    struct event
    {
        time_point due;
        std::uint64_t order;
        action what;

        bool operator<(event const & other) const
        {
            return this->due != other.due ? this->due > other.due
                                          : this->order > other.order;
        }
    };

    time_point current;
    std::uint64_t next_order = 0;
    std::priority_queue<event> events;
};

} // namespace endivehinge::simulation

#endif
