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

/// @brief news that this node still passes on, each a bounded number of times
/// @note thread safety: one thread
class update_queue
{
public:
    /// @param capacity the most updates kept; the most often sent goes first
    explicit update_queue(std::size_t capacity);

    /// @brief adds news; replaces earlier news of the same member
    void push(member_update const & update);

    /// @brief adds the least often sent updates to a datagram
    /// @param packer takes them
    /// @param max_transmissions how often an update is sent in all
    void pack(datagram_packer & packer, std::size_t max_transmissions);

    /// @brief how many updates wait
    [[nodiscard]] std::size_t size() const;

private:
    struct rank
    {
        std::size_t transmissions = 0;
        // of those sent equally often, the newest goes first
        std::uint64_t age = 0;

        friend bool operator<(rank const & a, rank const & b)
        {
            return a.transmissions != b.transmissions
                       ? a.transmissions < b.transmissions
                       : a.age > b.age;
        }
    };

    void insert(rank place, member_update const & update);

    std::size_t capacity;
    std::uint64_t pushed = 0;
    std::map<rank, member_update> updates;
    absl::flat_hash_map<node_name, rank> places;
};

} // namespace endivehinge

#endif
