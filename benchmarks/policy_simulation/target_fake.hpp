#ifndef ENDIVEHINGE_BENCHMARKS_TARGET_FAKE_HPP
#define ENDIVEHINGE_BENCHMARKS_TARGET_FAKE_HPP

#include <cstddef>    // size_t
#include <cstdint>    // uint32_t, uint64_t
#include <functional> // function
#include <map>        // multimap

#include <endivehinge/policy/ticket.hpp>

#include "event_loop.hpp"

namespace endivehinge::simulation
{

/// @brief a target whose running requests share its processors
class target_fake
{
public:
    using on_done = std::function<void(ticket_id)>;

    /// @param events outlives the fake
    /// @param slots requests that it runs at full speed when warm
    target_fake(event_loop & events, std::uint32_t slots, on_done done);

    /// @brief runs a request
    /// @param work its time at full speed
    void start(ticket_id id, duration work);

    /// @brief stops a request; unknown ones are ignored
    void cancel(ticket_id id);

    /// @brief makes every request slower, however few there are
    void set_speed(double share);

    /// @brief takes processors away: slower only with many requests
    void set_processors(double share);

    /// @brief forgets its caches: few requests at once until it is warm again
    void turn_cold();

    /// @brief whether it is warm
    [[nodiscard]] bool is_warm() const;

    /// @brief those that run
    [[nodiscard]] std::size_t running() const;

    /// @brief time in which more ran than it could bear while cold
    [[nodiscard]] duration overwhelmed_for() const;

private:
    void warm_a_little();
    void advance();
    void plan();
    void complete(std::uint64_t planned);
    [[nodiscard]] double bearable() const;
    [[nodiscard]] bool is_overwhelmed() const;
    [[nodiscard]] double rate() const;

    event_loop & loop;
    double slots;
    on_done report;
    double speed = 1;
    double processors = 1;
    double warm_slots;
    double progress = 0; // nanoseconds of work that each request has got
    time_point advanced_to;
    duration overwhelmed{0};
    std::uint64_t plan_count = 0;
    std::multimap<double, ticket_id> by_end;
};

} // namespace endivehinge::simulation

#endif
