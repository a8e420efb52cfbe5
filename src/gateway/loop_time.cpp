#include <endivehinge/detail/gateway/loop_time.hpp>

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{

time_point loop_now()
{
    return std::chrono::steady_clock::now();
}

std::string format_milliseconds(duration span)
{
    return absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace endivehinge::detail
