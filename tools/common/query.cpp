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

std::string query_text(std::string const & path, std::string const & name)
{
    auto const start = path.find('?');
    if (start == std::string::npos)
    {
        return {};
    }
    std::string const query = path.substr(start + 1);
    std::string const prefix = absl::StrCat(name, "=");
    for (auto const part : absl::StrSplit(query, '&'))
    {
        if (absl::StartsWith(part, prefix))
        {
            return std::string(part.substr(prefix.size()));
        }
    }
    return {};
}

std::uint64_t query_number(std::string const & path,
                           std::string const & name,
                           std::uint64_t fallback)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(query_text(path, name), &value) ? value : fallback;
}

} // namespace endivehinge::tools
