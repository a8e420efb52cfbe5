#include <endivehinge/policy/hedge_policy.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

char const * to_string(hedge_limit limit)
{
    switch (limit)
    {
    case hedge_limit::none:
        return "none";
    case hedge_limit::share:
        return "share";
    case hedge_limit::not_repeatable:
        return "not_repeatable";
    case hedge_limit::short_target:
        return "short_target";
    case hedge_limit::time_left:
        return "time_left";
    case hedge_limit::overload:
        return "overload";
    case hedge_limit::no_room:
        return "no_room";
    case hedge_limit::retry_budget:
        return "retry_budget";
    case hedge_limit::allotment:
        break;
    }
    return "allotment";
}

bool can_start_at_once(target_load const & load)
{
    return !load.closed && load.waiting == 0 && load.running < load.limit &&
           load.start_delay == duration(0);
}

hedge_policy::hedge_policy(hedge_options chosen)
    : options(chosen)
{
}

void hedge_policy::record_request()
{
    this->tokens =
        std::min(this->tokens + this->options.share, this->options.burst);
}

void hedge_policy::record_response_time(service_route const & route,
                                        duration response_time)
{
    if (this->options.share <= 0 ||
        (this->routes.size() >= this->options.max_names &&
         !this->routes.contains(route.name)))
    {
        return;
    }
    auto & state = this->routes[route.name];
    if (state.samples < this->options.min_samples)
    {
        state.samples += 1;
        state.quantile = std::max(state.quantile, response_time);
        return;
    }
    // converges where the part of the longer response times is 1 - quantile;
    // an estimate of two numbers that follows a change and needs no history
    double const change = response_time > state.quantile
                              ? this->options.quantile
                              : this->options.quantile - 1;
    state.quantile += std::chrono::duration_cast<duration>(
        state.quantile * (this->options.quantile_step * change));
    state.quantile = std::max(state.quantile, this->options.min_delay);
}

void hedge_policy::record_overload(service_name const & service, time_point now)
{
    if (this->options.share <= 0)
    {
        return;
    }
    if (this->overloads.size() >= this->options.max_names)
    {
        // services that are not in the configuration any more
        this->overloads.clear();
    }
    this->overloads[service] = now;
}

std::optional<duration> hedge_policy::delay(service_route const & route) const
{
    auto const found = this->routes.find(route.name);
    if (this->options.share <= 0 || !route.idempotent ||
        route.latency_target < this->options.min_latency_target ||
        found == this->routes.end() ||
        found->second.samples < this->options.min_samples)
    {
        return std::nullopt;
    }
    return std::max(found->second.quantile, this->options.min_delay);
}

hedge_limit hedge_policy::check(service_route const & route,
                                service_name const & service,
                                duration time_left,
                                duration run_time,
                                time_point now) const
{
    if (!route.idempotent)
    {
        return hedge_limit::not_repeatable;
    }
    if (route.latency_target < this->options.min_latency_target)
    {
        return hedge_limit::short_target;
    }
    auto const overload = this->overloads.find(service);
    if (overload != this->overloads.end() &&
        now - overload->second < this->options.overload_memory)
    {
        return hedge_limit::overload;
    }
    if (time_left <= run_time)
    {
        return hedge_limit::time_left;
    }
    return this->tokens < 1 ? hedge_limit::share : hedge_limit::none;
}

bool hedge_policy::has_room(target_candidate const & candidate) const
{
    if (!candidate.load || candidate.load_age > this->options.max_load_age)
    {
        return false;
    }
    auto const & load = *candidate.load;
    return can_start_at_once(load) &&
           load.slowdown <= this->options.max_slowdown &&
           load.running + candidate.sent_since < load.limit;
}

void hedge_policy::record_hedge()
{
    this->tokens -= 1;
}

} // namespace endivehinge
