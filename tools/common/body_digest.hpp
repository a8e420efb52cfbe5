#ifndef ENDIVEHINGE_TOOLS_COMMON_BODY_DIGEST_HPP
#define ENDIVEHINGE_TOOLS_COMMON_BODY_DIGEST_HPP

#include <string> // string

namespace endivehinge::tools
{

/// @brief the CRC-32 of a body in eight hex digits, a dash and its length
/// @note pure; anyone can compute it again, for one with zlib
[[nodiscard]] std::string body_digest(std::string const & body);

} // namespace endivehinge::tools

#endif
