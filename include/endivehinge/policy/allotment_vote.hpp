#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_VOTE_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_VOTE_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what a node asks of a voter for one account
struct allotment_vote_request
{
    account_name account;
    // increases with each request and return of one process
    std::uint64_t number = 0;
    // the node returns the vote, since it does not become the owner
    bool is_return = false;
};

/// @brief the answer to an allotment_vote_request
struct allotment_vote
{
    // for the validity of a vote the voter gives it to nobody else
    bool granted = false;
    // the voter has just started and may have forgotten an earlier vote. Counts
    // only if all voters of the group vote for the node: then there is no owner
    bool provisional = false;
    // if granted: for so long the voter has known no other owner
    duration unowned_for{0};
    // if not granted: the node that has the vote; none if the voter must not
    // vote yet or does not reach the node that asks
    std::optional<node_name> holder;
    // if not granted: until the vote may be free; if provisional: until it may
    // be a full one
    duration remaining{0};
};

} // namespace endivehinge

#endif
