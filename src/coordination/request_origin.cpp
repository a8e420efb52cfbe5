#include <endivehinge/coordination/request_origin.hpp>

#include <limits> // numeric_limits

#include <absl/strings/numbers.h>     // SimpleAtoi
#include <absl/strings/string_view.h> // string_view

namespace endivehinge
{
namespace
{

constexpr char separator = '-';

request_origin unnamed_origin()
{
    request_origin origin;
    origin.incarnation_number = std::numeric_limits<std::uint64_t>::max();
    origin.counter = std::numeric_limits<std::uint64_t>::max();
    return origin;
}

} // namespace

request_origin request_origin::of(request_id const & id)
{
    absl::string_view const text(id.value());
    auto const counter_separator = text.rfind(separator);
    if (counter_separator == absl::string_view::npos || counter_separator == 0)
    {
        return unnamed_origin();
    }
    absl::string_view const sender = text.substr(0, counter_separator);
    auto const incarnation_separator = sender.rfind(separator);
    request_origin origin;
    if (incarnation_separator == absl::string_view::npos ||
        !absl::SimpleAtoi(sender.substr(incarnation_separator + 1),
                          &origin.incarnation_number) ||
        !absl::SimpleAtoi(text.substr(counter_separator + 1), &origin.counter))
    {
        return unnamed_origin();
    }
    origin.sender = std::string(sender);
    return origin;
}

} // namespace endivehinge
