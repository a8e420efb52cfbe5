#include <endivehinge/coordination/key_time_stamp.hpp>

#include <algorithm> // all_of
#include <cstdint>   // int64_t

#include <absl/strings/ascii.h>            // ascii_isxdigit
#include <boost/uuid/string_generator.hpp> // string_generator
#include <boost/uuid/uuid.hpp>             // uuid

namespace endivehinge
{
namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t time_stamp_bytes = 6;
constexpr int bits_per_byte = 8;
constexpr int time_ordered_version = 7;

// 8-4-4-4-12 hexadecimal digits
bool is_uuid(std::string const & text)
{
    if (text.size() != uuid_length)
    {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        bool const is_dash = i == 8 || i == 13 || i == 18 || i == 23;
        bool const is_digit =
            absl::ascii_isxdigit(static_cast<unsigned char>(text[i]));
        if (is_dash ? text[i] != '-' : !is_digit)
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<wall_time> time_stamp_of(idempotency_key const & key)
{
    if (!is_uuid(key.value()))
    {
        return std::nullopt;
    }
    auto const uuid = boost::uuids::string_generator()(key.value());
    if (uuid.data[time_stamp_bytes] >> 4 != time_ordered_version ||
        uuid.variant() != boost::uuids::uuid::variant_rfc_4122)
    {
        return std::nullopt;
    }
    std::int64_t unix_ms = 0;
    for (std::size_t i = 0; i < time_stamp_bytes; ++i)
    {
        unix_ms = (unix_ms << bits_per_byte) | uuid.data[i];
    }
    // the clock type cannot represent later time stamps
    constexpr std::int64_t max_unix_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration::max())
            .count() /
        2;
    if (unix_ms > max_unix_ms)
    {
        return std::nullopt;
    }
    return wall_time(std::chrono::milliseconds(unix_ms));
}

} // namespace endivehinge
