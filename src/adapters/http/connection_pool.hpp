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

    std::unique_ptr<channel> take(endpoint const & peer)
    {
        {
            absl::MutexLock lock(&this->mutex);
            auto & idle = this->idle_channels[peer];
            if (!idle.empty())
            {
                auto taken = std::move(idle.back());
                idle.pop_back();
                return taken;
            }
        }
        return std::make_unique<channel>();
    }

    void give_back(endpoint const & peer, std::unique_ptr<channel> used)
    {
        absl::MutexLock lock(&this->mutex);
        auto & idle = this->idle_channels[peer];
        if (idle.size() < this->limits.idle_connections_per_peer)
        {
            idle.push_back(std::move(used));
        }
    }

    void forget(endpoint const & peer)
    {
        std::vector<std::unique_ptr<channel>> dropped;
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
    absl::Mutex mutex;
    absl::flat_hash_map<endpoint, std::vector<std::unique_ptr<channel>>>
        idle_channels;
};

} // namespace endivehinge::detail

#endif
