#include <common/body_digest.hpp>

#include <absl/strings/str_cat.h> // StrCat
#include <boost/crc.hpp>          // crc_32_type

namespace endivehinge::tools
{

std::string body_digest(std::string const & body)
{
    boost::crc_32_type sum;
    sum.process_bytes(body.data(), body.size());
    return absl::StrCat(
        absl::Hex(sum.checksum(), absl::kZeroPad8), "-", body.size());
}

} // namespace endivehinge::tools
