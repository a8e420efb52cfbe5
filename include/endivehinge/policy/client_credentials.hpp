#ifndef ENDIVEHINGE_POLICY_CLIENT_CREDENTIALS_HPP
#define ENDIVEHINGE_POLICY_CLIENT_CREDENTIALS_HPP

#include <string> // string

namespace endivehinge
{

/// @brief what a request states about the account of its client
enum class credentials_kind
{
    absent,    // no credentials, or of a scheme that has no keys
    key,       // one key
    ambiguous, // an empty key, or several fields with credentials
};

/// @brief the credentials of a client's request
struct client_credentials
{
    credentials_kind kind = credentials_kind::absent;
    // set if kind is key; secret, never logged
    std::string key;
};

} // namespace endivehinge

#endif
