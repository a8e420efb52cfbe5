#ifndef ENDIVEHINGE_TOOLS_COMMON_TOOL_OPTIONS_HPP
#define ENDIVEHINGE_TOOLS_COMMON_TOOL_OPTIONS_HPP

#include <cstdint> // int64_t
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

namespace endivehinge::tools
{

/// @brief the `--name value` pairs of a small program's command line
class tool_options
{
public:
    tool_options(int argc, char ** argv);

    /// @brief the text of an option
    [[nodiscard]] std::string text(std::string const & name,
                                   std::string const & fallback) const;

    /// @brief the number of an option
    [[nodiscard]] std::int64_t number(std::string const & name,
                                      std::int64_t fallback) const;

private:
    absl::flat_hash_map<std::string, std::string> values;
};

} // namespace endivehinge::tools

#endif
