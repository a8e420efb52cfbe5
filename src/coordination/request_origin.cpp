#include <endivehinge/coordination/request_origin.hpp>

#include <limits> // numeric_limits

#include <absl/strings/numbers.h>     // SimpleAtoi
#include <absl/strings/string_view.h> // string_view

namespace endivehinge
{
namespace
{

constexpr char separator = '-';

request_origin without_name()
{
    request_origin origin;
    origin.run = std::numeric_limits<std::uint64_t>::max();
    origin.counter = std::numeric_limits<std::uint64_t>::max();
    return origin;
}

} // namespace

request_origin request_origin::of(request_id const & id)
{
    absl::string_view const text(id.value());
    auto const before_counter = text.rfind(separator);
    if (before_counter == absl::string_view::npos || before_counter == 0)
    {
        return without_name();
    }
    absl::string_view const sender = text.substr(0, before_counter);
    auto const before_run = sender.rfind(separator);
    request_origin origin;
    if (before_run == absl::string_view::npos ||
        !absl::SimpleAtoi(sender.substr(before_run + 1), &origin.run) ||
        !absl::SimpleAtoi(text.substr(before_counter + 1), &origin.counter))
    {
        return without_name();
    }
    origin.sender = std::string(sender);
    return origin;
}

} // namespace endivehinge
