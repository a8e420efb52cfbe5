#include <endivehinge/core/external_text.hpp>

#include <cstddef> // size_t

#include <absl/strings/ascii.h>     // ascii_iscntrl
#include <boost/nowide/utf/utf.hpp> // utf_traits

namespace endivehinge
{
namespace
{

// far below the size of a header that receivers accept
constexpr std::size_t max_identifier_bytes = 1024;
// UTF-8 of the replacement character
constexpr char const * replacement = "\xEF\xBF\xBD";

bool is_control(char character)
{
    return absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

/// @brief moves past one character, or past one byte that begins none
/// @return whether there was a character
bool skip_character(char const *& position, char const * end)
{
    using utf8 = boost::nowide::utf::utf_traits<char>;
    auto const * next = position;
    auto const code = utf8::decode(next, end);
    bool const is_character = code != boost::nowide::utf::illegal &&
                              code != boost::nowide::utf::incomplete;
    position = is_character ? next : position + 1;
    return is_character;
}

} // namespace

bool is_valid_identifier(std::string_view text)
{
    if (text.empty() || text.size() > max_identifier_bytes ||
        text.front() == ' ' || text.back() == ' ')
    {
        return false;
    }
    auto const * const end = text.data() + text.size();
    for (auto const * position = text.data(); position != end;)
    {
        if (is_control(*position) || !skip_character(position, end))
        {
            return false;
        }
    }
    return true;
}

std::string to_printable(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    auto const * const end = text.data() + text.size();
    for (auto const * position = text.data(); position != end;)
    {
        auto const * const begin = position;
        if (is_control(*position))
        {
            result += ' ';
            ++position;
        }
        else if (skip_character(position, end))
        {
            result.append(begin, position);
        }
        else
        {
            result += replacement;
        }
    }
    return result;
}

} // namespace endivehinge
