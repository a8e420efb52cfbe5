#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_MESSAGE_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_MESSAGE_HPP

#include <utility> // pair
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_departure.hpp>
#include <endivehinge/policy/allotment_vote.hpp>

namespace endivehinge
{

/// @brief what one node sends to another about allotments
struct allotment_message
{
    allotment_process from;
    // nodes whose targets have left although their entries remain
    std::vector<allotment_departure> departures;
    std::vector<std::pair<account_name, allotment_ask>> asks;
    std::vector<allotment_vote_request> vote_requests;
};

} // namespace endivehinge

#endif
