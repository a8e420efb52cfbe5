#ifndef ENDIVEHINGE_COORDINATION_REQUEST_ORIGIN_HPP
#define ENDIVEHINGE_COORDINATION_REQUEST_ORIGIN_HPP

#include <cstdint> // uint64_t
#include <string>  // string

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what a request id of the form NODE-RUN-COUNTER says
struct request_origin
{
    // the node and its run
    std::string sender;
    // the node's incarnation
    std::uint64_t run = 0;
    // grows with each id of that run
    std::uint64_t counter = 0;

    /// @brief reads an id
    /// @return an id of another form belongs to the sender without a name,
    ///         whose ids have no order: each has the greatest counter
    /// @note pure; thread safety: any thread
    [[nodiscard]] static request_origin of(request_id const & id);
};

} // namespace endivehinge

#endif
