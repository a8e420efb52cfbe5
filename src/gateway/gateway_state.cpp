#include <endivehinge/detail/gateway/gateway_state.hpp>

#include <unistd.h> // STDOUT_FILENO

#include <algorithm> // max
#include <utility>   // exchange, move

#include <absl/strings/str_cat.h> // Hex, StrCat

namespace endivehinge::detail
{
namespace
{

// assumed share of a route's latency target before any service time was
// recorded
constexpr double default_service_time_share = 1.0 / 3;
// weight of the newest service time in the moving average
constexpr double newest_sample_weight = 0.05;
// routes with a recorded mean; bounds memory
constexpr std::size_t max_tracked_routes = 256;
// part of the memory limit that responses in progress may use; their buffers
// are copied while they grow, and the rest of the process needs memory, too
constexpr std::size_t response_memory_divisor = 16;
// requests that wait for the first configuration of this process and are woken
// by it; bounds memory
constexpr std::size_t max_configuration_callbacks = 1024;

// for the log, the store and the health probes
constexpr std::size_t reserved_descriptors = 200;
// Parts of the memory limit that server connections may use. The larger part
// holds one body of 64 MiB on a machine with 160 MB; the rest of the limit is
// for responses in progress, and for the process itself.
constexpr std::size_t ordinary_memory_divisor = 8;
constexpr double large_memory_share = 7.0 / 16;
// to the target, and to the store and its watches
constexpr std::size_t other_connections = 224;

/// @brief half of the descriptors; the other half is for connections to the
/// target and to other nodes
std::size_t half_of_descriptors(gateway_settings const & settings)
{
    return (std::max(settings.descriptor_limit, 2 * reserved_descriptors) -
            reserved_descriptors) /
           2;
}

connection_budget_limits connection_limits_of(gateway_settings const & settings)
{
    connection_budget_limits limits;
    limits.connections = half_of_descriptors(settings);
    limits.ordinary_bytes = settings.memory_limit / ordinary_memory_divisor;
    limits.large_bytes = static_cast<std::size_t>(
        static_cast<double>(settings.memory_limit) * large_memory_share);
    return limits;
}

std::size_t peer_connection_limit(gateway_settings const & settings)
{
    auto const half = half_of_descriptors(settings);
    return std::max(half / 4, half - std::min(half, other_connections));
}

hedge_options hedge_options_of(gateway_settings const & settings)
{
    hedge_options options;
    options.share = settings.hedge_share;
    options.min_latency_target = settings.hedge_min_target;
    return options;
}

// from the check of a key to the start at the target, which may need a new
// connection (250 ms at most)
constexpr duration target_start_margin = std::chrono::milliseconds(300);

} // namespace

gateway_state::gateway_state(boost::asio::io_context & loop,
                             gateway_settings initial_settings,
                             message_adapter const & codec)
    : io(loop)
    , settings(std::move(initial_settings))
    , adapter(codec)
    , log(this->settings.node.value(), STDOUT_FILENO)
    , hedges(hedge_options_of(this->settings))
    , responses(this->settings.memory_limit / response_memory_divisor)
    , connections(loop,
                  connection_limits_of(this->settings),
                  [this](client_limit limit, listener_kind listener)
                  {
                      this->record_client_limit(limit, listener);
                  })
    , peer_connections(peer_connection_limit(this->settings))
    , target(loop, this->settings, codec, this->log, this->responses)
    , generator(std::random_device{}())
{
    if (this->settings.rollouts)
    {
        this->rollouts = std::make_unique<rollout_routing>(
            this->fleet, this->settings.configuration_delay);
        this->own_rollout = std::make_unique<rollout_participant>(
            this->settings, this->fleet, *this->rollouts, this->log);
        this->target.set_rollout(this->own_rollout.get());
    }
    this->own_sender.peer = this->settings.peer_listener;
    this->own_sender.incarnation_id = absl::StrCat(
        absl::Hex(this->generator()), absl::Hex(this->generator()));
}

peer_node & gateway_state::peer(endpoint const & address)
{
    auto & entry = this->peers[address];
    if (!entry)
    {
        entry = std::make_unique<peer_node>(
            this->io,
            address,
            this->own_sender,
            [this](endpoint const & from, replica_versions const & versions)
            {
                if (this->on_peer_versions)
                {
                    this->on_peer_versions(from, versions);
                }
            },
            this->log,
            this->responses,
            this->peer_connections);
    }
    return *entry;
}

service_retry_budget &
gateway_state::retry_budget_of(service_name const & service)
{
    auto const & bounds = this->settings.bounds;
    return this->budgets
        .try_emplace(service,
                     service_retry_budget_options{bounds.retry_share,
                                                  bounds.retry_burst,
                                                  bounds.retry_window})
        .first->second;
}

duration gateway_state::mean_service_time(service_route const & route) const
{
    auto const entry = this->service_times.find(route.name);
    if (entry != this->service_times.end())
    {
        return entry->second;
    }
    return std::chrono::duration_cast<duration>(route.latency_target *
                                                default_service_time_share);
}

void gateway_state::record_service_time(service_route const & route,
                                        duration service_time,
                                        double slowdown)
{
    auto const normal_time = std::chrono::duration_cast<duration>(
        service_time / std::max(slowdown, 1.0));
    if (this->service_times.size() >= max_tracked_routes &&
        !this->service_times.contains(route.name))
    {
        return;
    }
    auto & mean = this->service_times
                      .try_emplace(route.name, this->mean_service_time(route))
                      .first->second;
    mean += std::chrono::duration_cast<duration>((normal_time - mean) *
                                                 newest_sample_weight);
}

void gateway_state::on_next_configuration(std::function<void()> callback)
{
    if (this->configuration_callbacks.size() < max_configuration_callbacks)
    {
        this->configuration_callbacks.push_back(std::move(callback));
    }
}

void gateway_state::notify_configuration()
{
    for (auto const & callback :
         std::exchange(this->configuration_callbacks, {}))
    {
        callback();
    }
}

account_check_bounds gateway_state::account_bounds() const
{
    auto const & limits = this->settings.accounts;
    account_check_bounds bounds;
    bounds.unknown_key_age =
        std::max(bounds.unknown_key_age, this->settings.configuration_delay);
    if (limits.strict_revocation)
    {
        bounds.revocation_age = std::max(
            limits.revocation_delay - target_start_margin, duration(0));
    }
    return bounds;
}

char const * gateway_state::start_refusal(dispatch_request const & request)
{
    auto const & active = this->fleet.configuration();
    if (!active || !request.account_key)
    {
        return nullptr;
    }
    auto const decision = check_admitted_account(*active,
                                                 request.account,
                                                 *request.account_key,
                                                 request.account_version,
                                                 this->configuration_age(),
                                                 this->account_bounds());
    if (decision.verdict == account_verdict::admitted)
    {
        return nullptr;
    }
    auto const * const cause = to_string(decision.cause);
    this->metrics.increment(absl::StrCat("account_start_refused_", cause));
    return cause;
}

void gateway_state::record_client_limit(client_limit limit,
                                        listener_kind listener)
{
    this->metrics.increment(absl::StrCat("client_limit_", to_string(limit)));
    this->log.write(
        "client_limit",
        {{"limit", to_string(limit)}, {"listener", to_string(listener)}});
}

double gateway_state::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

} // namespace endivehinge::detail
