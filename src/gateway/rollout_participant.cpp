#include <endivehinge/detail/gateway/rollout_participant.hpp>

#include <random> // random_device

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/boot_clock.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// a version is held back for seconds; the end of that time is noticed within
// this one
constexpr duration refresh_interval = std::chrono::milliseconds(100);
// routes that are counted by name; bounds memory and the length of a report
constexpr std::size_t max_counted_routes = 64;
// counts of all further routes
constexpr char const * other_routes = "";

/// @brief a number that no other lifetime of this node has
incarnation random_process()
{
    std::random_device source;
    return incarnation((std::uint64_t{source()} << 32U) | source());
}

duration suspension_time()
{
    return boot_clock::now().time_since_epoch();
}

} // namespace

rollout_participant::rollout_participant(gateway_settings const & node_settings,
                                         fleet_view const & known_fleet,
                                         rollout_routing & version_routing,
                                         event_log & events)
    : settings(node_settings)
    , fleet(known_fleet)
    , routing(version_routing)
    , log(events)
    , process(random_process())
    , gate(this->process)
{
}

void rollout_participant::set_version(
    std::optional<software_version> const & stated)
{
    this->version = stated;
    this->gate.set_version(stated.value_or(software_version()));
    this->next_refresh = time_point();
}

bool rollout_participant::accepts()
{
    this->refresh();
    return this->version && this->gate.accepts(suspension_time());
}

bool rollout_participant::is_excluded()
{
    this->refresh();
    auto const entry = this->routing.entry_of(this->settings.service);
    if (!entry || !this->version)
    {
        return false;
    }
    bool const is_new = *this->version == entry->order.target_version;
    auto const state = state_of(*entry);
    return (state == rollout_state::rolled_back && is_new) ||
           (state == rollout_state::completed && !is_new);
}

void rollout_participant::record_accepted(std::string const & route)
{
    this->gate.record_accepted();
    this->counts_of(route).arrivals += 1;
}

void rollout_participant::record_response(std::string const & route,
                                          std::optional<duration> run_time)
{
    auto & counts = this->counts_of(route);
    counts.add_response(false);
    if (run_time)
    {
        counts.add_run_time(*run_time, 1);
    }
}

void rollout_participant::record_failure(std::string const & route)
{
    this->counts_of(route).add_response(true);
    this->gate.record_failure();
}

bool rollout_participant::apply(rollout_instruction const & received)
{
    this->refresh();
    bool const is_obeyed = this->gate.apply(received);
    if (is_obeyed)
    {
        this->coordinator_seen = loop_now();
    }
    return is_obeyed;
}

rollout_counts rollout_participant::counts(bool cold, std::uint64_t in_progress)
{
    auto report = this->current;
    report.node = this->settings.node;
    report.version = this->version.value_or(software_version());
    report.process = this->process;
    report.reported_at = suspension_time();
    report.order_age = this->order_age();
    report.term = this->gate.term();
    report.sequence = this->gate.sequence();
    report.cold = cold;
    report.closed = !this->accepts();
    report.in_progress = in_progress;
    return report;
}

duration rollout_participant::order_age() const
{
    return loop_now() - this->order_since;
}

duration rollout_participant::since_coordinator() const
{
    return loop_now() - this->coordinator_seen;
}

std::uint64_t rollout_participant::term() const
{
    return this->gate.term();
}

rollout_route_counts & rollout_participant::counts_of(std::string const & route)
{
    auto & routes = this->current.routes;
    bool const is_counted_by_name =
        routes.count(route) > 0 || routes.size() < max_counted_routes;
    return routes[is_counted_by_name ? route : other_routes];
}

void rollout_participant::refresh()
{
    auto const now = loop_now();
    if (this->applied_change == this->fleet.change_count() &&
        now < this->next_refresh)
    {
        return;
    }
    this->applied_change = this->fleet.change_count();
    this->next_refresh = now + refresh_interval;
    auto const & service = this->settings.service;
    auto const own_version = this->version.value_or(software_version());
    this->gate.set_allowed(this->routing.allows(service, own_version, now),
                           this->routing.is_sole(service, own_version));
    if (!this->fleet.knows_rollouts())
    {
        return;
    }
    auto const entry = this->routing.entry_of(service);
    if (this->gate.set_entry(entry))
    {
        this->current = rollout_counts();
        this->order_since = now;
    }
    auto const known_version = entry ? entry->version : object_version();
    if (known_version != this->entry_version)
    {
        this->entry_version = known_version;
        this->coordinator_seen = now;
    }
    this->log_gate(this->version && this->gate.accepts(suspension_time()));
}

void rollout_participant::log_gate(bool is_open)
{
    if (is_open == this->was_open)
    {
        return;
    }
    this->was_open = is_open;
    auto const total = this->current.total();
    this->log.write(
        is_open ? "rollout_gate_open" : "rollout_gate_closed",
        {{"version", this->version.value_or(software_version()).value()},
         {"term", absl::StrCat(this->gate.term())},
         {"arrivals", absl::StrCat(total.arrivals)},
         {"failures", absl::StrCat(total.failures)}});
}

} // namespace endivehinge::detail
