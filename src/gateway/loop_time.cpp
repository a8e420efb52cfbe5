#include <endivehinge/detail/gateway/loop_time.hpp>

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{

time_point loop_now()
{
    return std::chrono::steady_clock::now();
}

std::string format_milliseconds(duration value)
{
    return absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace endivehinge::detail
