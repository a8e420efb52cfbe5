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

    friend bool operator==(allotment_process const & a,
                           allotment_process const & b)
    {
        return a.node == b.node && a.process == b.process;
    }
};

/// @brief what one node asks of the owner of one account
struct allotment_ask
{
    // increases with each ask of one process for the account
    std::uint64_t sequence = 0;
    // tokens for requests that wait
    std::uint32_t needed = 0;
    // all tokens asked for, including those for requests that are expected
    std::uint32_t wanted = 0;
    // unexpired tokens that the node does not use any more
    std::uint32_t returned = 0;
    // requests per second of the account at this node
    double demand = 0;
    // the node does not reach the owner: the receiver is to pass tokens on
    bool relay = false;
};

} // namespace endivehinge

#endif
