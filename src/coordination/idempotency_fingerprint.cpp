#include <endivehinge/coordination/idempotency_fingerprint.hpp>

#include <absl/strings/str_cat.h>             // StrCat
#include <boost/uuid/name_generator_sha1.hpp> // name_generator_sha1
#include <boost/uuid/uuid.hpp>                // uuid
#include <boost/uuid/uuid_io.hpp>             // to_string

namespace endivehinge
{
namespace
{

// the bytes of a UUID that hold no version and no variant
constexpr int digest_bytes[] = {0, 1, 2, 3, 4, 5, 9, 10};
constexpr int bits_per_byte = 8;

} // namespace

// a UUID of version 5 is a published digest of a text
request_fingerprint idempotency_fingerprint(http_request const & message)
{
    boost::uuids::name_generator_sha1 const generate(boost::uuids::ns::url());
    std::string const body = boost::uuids::to_string(generate(message.body));
    auto const uuid =
        generate(absl::StrCat(message.method, " ", message.path, " ", body));
    std::uint64_t digest = 0;
    for (int const index : digest_bytes)
    {
        digest = (digest << bits_per_byte) | uuid.data[index];
    }
    return request_fingerprint(digest);
}

} // namespace endivehinge
