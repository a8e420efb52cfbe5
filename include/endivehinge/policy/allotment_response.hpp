#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_RESPONSE_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_RESPONSE_HPP

#include <utility> // pair
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_departure.hpp>
#include <endivehinge/policy/allotment_grant.hpp>
#include <endivehinge/policy/allotment_vote.hpp>

namespace endivehinge
{

/// @brief the answer to an allotment_message
struct allotment_response
{
    allotment_process from;
    // as in an allotment_message
    std::vector<allotment_departure> departures;
    // in the order of the asks
    std::vector<std::pair<account_name, allotment_grant>> grants;
    // in the order of the vote requests
    std::vector<std::pair<account_name, allotment_vote>> votes;
};

} // namespace endivehinge

#endif
