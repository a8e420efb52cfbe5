#include <common/query.hpp>

#include <absl/strings/match.h>     // StartsWith
#include <absl/strings/numbers.h>   // SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_split.h> // StrSplit

namespace endivehinge::tools
{

std::vector<std::string> path_segments(std::string const & path)
{
    return absl::StrSplit(
        path.substr(0, path.find('?')), '/', absl::SkipEmpty());
}

std::uint64_t query_number(std::string const & path,
                           std::string const & name,
                           std::uint64_t fallback)
{
    auto const start = path.find('?');
    if (start == std::string::npos)
    {
        return fallback;
    }
    std::string const prefix = absl::StrCat(name, "=");
    for (auto const part : absl::StrSplit(path.substr(start + 1), '&'))
    {
        std::uint64_t value = 0;
        if (absl::StartsWith(part, prefix) &&
            absl::SimpleAtoi(part.substr(prefix.size()), &value))
        {
            return value;
        }
    }
    return fallback;
}

} // namespace endivehinge::tools
