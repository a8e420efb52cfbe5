#ifndef ENDIVEHINGE_COORDINATION_DROPPED_REQUEST_SET_HPP
#define ENDIVEHINGE_COORDINATION_DROPPED_REQUEST_SET_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a bounded approximate set of the requests whose records were dropped
/// @note it may report a request that never had a record, but it never misses
///       one whose record was dropped
/// @note thread safety: none
class dropped_request_set
{
public:
    /// @param sender_limit the maximum number of senders (node incarnations)
    ///        that are tracked separately
    explicit dropped_request_set(std::size_t sender_limit);

    /// @brief adds a request whose record is dropped
    void add(request_id const & id);

    /// @brief whether a record of the request may have been dropped
    [[nodiscard]] bool may_contain(request_id const & id) const;

private:
    // all ids of a sender up to this counter count as dropped
    struct low_water_mark
    {
        std::uint64_t counter = 0;
        std::uint64_t incarnation_number = 0;
    };

    bool is_evicted(request_id const & id) const;
    void ensure_capacity();

    std::size_t sender_limit;
    // a sender without a mark counts as dropped if its incarnation is not later
    // than this one
    std::uint64_t evicted_incarnation = 0;
    absl::flat_hash_map<std::string, low_water_mark> low_water_marks;
};

} // namespace endivehinge

#endif
