#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_ASK_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_ASK_HPP

#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the process that asks for tokens
struct allotment_process
{
    node_name node;
    // differs between the processes of one node
    std::uint64_t process = 0;
};

/// @brief what one node asks of the owner of one account
struct allotment_ask
{
    // increases with each ask of one process for the account
    std::uint64_t sequence = 0;
    // the latest ask whose grant was received; 0: none
    std::uint64_t acknowledged = 0;
    // tokens for requests that wait
    std::uint32_t needed = 0;
    // all tokens asked for, including those for requests that are expected
    std::uint32_t wanted = 0;
    // unexpired tokens that the node does not use any more
    std::uint32_t returned = 0;
    // requests per second of the account at this node
    double demand = 0;
    bool wants_right = false;
    // the node has discarded its right
    bool drops_right = false;
};

} // namespace endivehinge

#endif
