#ifndef ENDIVEHINGE_COORDINATION_REQUEST_ORIGIN_HPP
#define ENDIVEHINGE_COORDINATION_REQUEST_ORIGIN_HPP

#include <cstdint> // uint64_t
#include <string>  // string

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the parts of a request id of the form NODE-INCARNATION-COUNTER
struct request_origin
{
    // the node and its incarnation
    std::string sender;
    // the node's incarnation
    std::uint64_t incarnation_number = 0;
    // increases with each id of the incarnation
    std::uint64_t counter = 0;

    /// @brief parses an id
    /// @return for an id of any other form an empty sender; such ids have no
    ///         order, so each gets the largest incarnation and counter
    /// @note pure; thread safety: any thread
    [[nodiscard]] static request_origin of(request_id const & id);
};

} // namespace endivehinge

#endif
