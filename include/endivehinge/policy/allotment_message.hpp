#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_MESSAGE_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_MESSAGE_HPP

#include <utility> // pair
#include <vector>  // vector

#include <endivehinge/policy/allotment_ask.hpp>
#include <endivehinge/policy/allotment_directory.hpp>

namespace endivehinge
{

/// @brief what one node sends to another about allotments
struct allotment_message
{
    allotment_process from;
    // nodes whose processes have ended, so that the receiver does not take one
    // of them for an owner
    std::vector<allotment_directory::ended_node> ended;
    // nodes whose targets have left although their entries remain
    std::vector<allotment_departure> departures;
    std::vector<std::pair<account_name, allotment_ask>> asks;
    // accounts that the sender owns and whose rights it does not know
    std::vector<account_name> questions;
};

} // namespace endivehinge

#endif
