#ifndef ENDIVEHINGE_TOOLS_COMMON_QUERY_HPP
#define ENDIVEHINGE_TOOLS_COMMON_QUERY_HPP

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace endivehinge::tools
{

/// @brief the segments of a path without its query
[[nodiscard]] std::vector<std::string> path_segments(std::string const & path);

/// @brief a text from the query of a path; empty where there is none
[[nodiscard]] std::string query_text(std::string const & path,
                                     std::string const & name);

/// @brief a number from the query of a path
[[nodiscard]] std::uint64_t query_number(std::string const & path,
                                         std::string const & name,
                                         std::uint64_t fallback);

} // namespace endivehinge::tools

#endif
