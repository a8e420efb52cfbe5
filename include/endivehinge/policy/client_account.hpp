#ifndef ENDIVEHINGE_POLICY_CLIENT_ACCOUNT_HPP
#define ENDIVEHINGE_POLICY_CLIENT_ACCOUNT_HPP

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a client account with its keys, priority and allotment
struct client_account
{
    account_name name;
    // each identifies the account in a client's request; secret, never logged
    std::vector<std::string> keys;
    // takes precedence over the rank of a route
    std::optional<std::uint32_t> rank;
    // allotment over all nodes together; 0: unlimited
    double requests_per_second = 0;
    // requests beyond the rate that may arrive at once
    double burst = 0;
};

} // namespace endivehinge

#endif
