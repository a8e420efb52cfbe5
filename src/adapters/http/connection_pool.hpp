#ifndef ENDIVEHINGE_ADAPTERS_HTTP_CONNECTION_POOL_HPP
#define ENDIVEHINGE_ADAPTERS_HTTP_CONNECTION_POOL_HPP

#include <memory>  // unique_ptr
#include <utility> // move
#include <vector>  // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/synchronization/mutex.h>   // Mutex

#include <endivehinge/detail/http/http_client.hpp>

#include "curl_channel.hpp"

namespace endivehinge::detail
{

/// @brief the idle connections of a client, by peer
/// @note thread safety: any thread
class connection_pool
{
public:
    explicit connection_pool(http_client_limits const & bounds)
        : limits(bounds)
    {
    }

    /// @brief an idle connection, or a channel that has none yet
    /// @param longest_idle a connection that was idle for longer is left
    std::unique_ptr<channel> take(endpoint const & peer, duration longest_idle)
    {
        absl::MutexLock lock(&this->mutex);
        auto & idle = this->idle_channels[peer];
        // the one given back last was idle for the shortest time
        if (!idle.empty() &&
            machine_clock().now() - idle.back().since <= longest_idle)
        {
            auto taken = std::move(idle.back().used);
            idle.pop_back();
            return taken;
        }
        return std::make_unique<channel>();
    }

    /// @brief returns a connection to the pool for reuse; closes it if the pool
    /// is full
    void give_back(endpoint const & peer, std::unique_ptr<channel> used)
    {
        absl::MutexLock lock(&this->mutex);
        auto & idle = this->idle_channels[peer];
        if (idle.size() < this->limits.idle_connections_per_peer)
        {
            idle.push_back({std::move(used), machine_clock().now()});
        }
    }

    /// @brief drops the idle connections to a peer
    void forget(endpoint const & peer)
    {
        std::vector<idle_channel> dropped;
        absl::MutexLock lock(&this->mutex);
        if (auto const found = this->idle_channels.find(peer);
            found != this->idle_channels.end())
        {
            dropped = std::move(found->second);
            this->idle_channels.erase(found);
        }
    }

    http_client_limits const limits;

private:
    struct idle_channel
    {
        std::unique_ptr<channel> used;
        time_point since;
    };

    absl::Mutex mutex;
    absl::flat_hash_map<endpoint, std::vector<idle_channel>> idle_channels;
};

} // namespace endivehinge::detail

#endif
