#include <endivehinge/detail/gateway/gateway_state.hpp>

#include <unistd.h> // STDOUT_FILENO

#include <utility> // move

#include <absl/strings/str_cat.h> // Hex, StrCat

namespace endivehinge::detail
{
namespace
{

// share of a latency target that a route's work takes where no run was seen
constexpr double assumed_work = 1.0 / 3;
// weight of the newest run in the mean
constexpr double work_weight = 0.05;
// routes whose work is known; bounds memory
constexpr std::size_t known_routes = 256;

} // namespace

gateway_state::gateway_state(boost::asio::io_context & loop,
                             gateway_settings chosen,
                             message_adapter const & codec)
    : io(loop)
    , settings(std::move(chosen))
    , adapter(codec)
    , log(this->settings.node.value(), STDOUT_FILENO)
    , target(loop, this->settings, codec, this->log)
    , generator(std::random_device{}())
{
    this->own_sender.peer = this->settings.peer_listener;
    this->own_sender.incarnation_id = absl::StrCat(
        absl::Hex(this->generator()), absl::Hex(this->generator()));
}

peer_node & gateway_state::peer(endpoint const & address)
{
    auto & found = this->peers[address];
    if (!found)
    {
        found = std::make_unique<peer_node>(
            this->io,
            address,
            this->own_sender,
            [this](endpoint const & from, replica_versions const & shown)
            {
                if (this->on_peer_versions)
                {
                    this->on_peer_versions(from, shown);
                }
            },
            this->log);
    }
    return *found;
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
    auto const found = this->work.find(route.name);
    if (found != this->work.end())
    {
        return found->second;
    }
    return std::chrono::duration_cast<duration>(route.latency_target *
                                                assumed_work);
}

void gateway_state::record_service_time(service_route const & route,
                                        duration ran,
                                        double slowdown)
{
    auto const usual =
        std::chrono::duration_cast<duration>(ran / std::max(slowdown, 1.0));
    if (this->work.size() >= known_routes && !this->work.contains(route.name))
    {
        return;
    }
    auto & mean =
        this->work.try_emplace(route.name, this->mean_service_time(route))
            .first->second;
    mean += std::chrono::duration_cast<duration>((usual - mean) * work_weight);
}

double gateway_state::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

} // namespace endivehinge::detail
