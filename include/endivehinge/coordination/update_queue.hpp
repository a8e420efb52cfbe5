#ifndef ENDIVEHINGE_COORDINATION_UPDATE_QUEUE_HPP
#define ENDIVEHINGE_COORDINATION_UPDATE_QUEUE_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/coordination/datagram_packer.hpp>
#include <endivehinge/coordination/member_update.hpp>

namespace endivehinge
{

/// @brief queue of the updates to disseminate, each a bounded number of times
/// @note thread safety: none; for use on one thread
class update_queue
{
public:
    /// @param capacity maximum number of queued updates; if it is exceeded, the
    ///        update sent most often is dropped
    explicit update_queue(std::size_t capacity);

    /// @brief adds an update, replacing a queued update of the same member
    void push(member_update const & update);

    /// @brief adds updates to a datagram, those sent least often first
    /// @param packer receives the updates
    /// @param max_transmissions number of transmissions after which an update
    ///        is removed from the queue
    void pack(datagram_packer & packer, std::size_t max_transmissions);

    /// @brief returns the number of queued updates
    [[nodiscard]] std::size_t size() const;

private:
    struct send_order
    {
        std::size_t transmissions = 0;
        // among updates sent equally often, the newest is sent first
        std::uint64_t push_number = 0;

        friend bool operator<(send_order const & a, send_order const & b)
        {
            return a.transmissions != b.transmissions
                       ? a.transmissions < b.transmissions
                       : a.push_number > b.push_number;
        }
    };

    void insert(send_order order, member_update const & update);

    std::size_t capacity;
    std::uint64_t push_count = 0;
    std::map<send_order, member_update> updates;
    absl::flat_hash_map<node_name, send_order> orders_by_name;
};

} // namespace endivehinge

#endif
