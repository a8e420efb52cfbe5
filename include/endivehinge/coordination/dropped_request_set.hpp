#ifndef ENDIVEHINGE_COORDINATION_DROPPED_REQUEST_SET_HPP
#define ENDIVEHINGE_COORDINATION_DROPPED_REQUEST_SET_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a bounded digest of the requests whose records were dropped
/// @note it may name a request that had no record, never the other way
/// @note thread safety: none
class dropped_request_set
{
public:
    /// @param sender_limit the most runs of nodes that are told apart
    explicit dropped_request_set(std::size_t sender_limit);

    /// @brief takes in a request whose record is dropped
    void add(request_id const & id);

    /// @brief whether a request may have had a record once
    [[nodiscard]] bool may_contain(request_id const & id) const;

private:
    // every id of a sender up to its low-water mark
    struct low_water_mark
    {
        std::uint64_t counter = 0;
        std::uint64_t run = 0;
    };

    bool is_lost(request_id const & id) const;
    void make_room();

    std::size_t sender_limit;
    // every sender without a mark of its own whose run is no later
    std::uint64_t lost_runs = 0;
    absl::flat_hash_map<std::string, low_water_mark> marks;
};

} // namespace endivehinge

#endif
