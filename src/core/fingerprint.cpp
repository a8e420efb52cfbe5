#include <endivehinge/core/fingerprint.hpp>

#include <xxhash.h> // XXH3_64bits_withSeed

#include <string> // string

namespace endivehinge
{
namespace
{

// the digest so far seeds the next part, so that parts cannot run together
std::uint64_t extend(std::uint64_t digest, std::string const & part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), digest);
}

} // namespace

request_fingerprint fingerprint_of(request const & source)
{
    std::uint64_t digest = extend(0, source.service.value());
    digest = extend(digest, source.message.method);
    digest = extend(digest, source.message.path);
    digest = extend(digest, source.key.has_value() ? source.key->value() : "");
    digest = extend(digest, source.message.body);
    return request_fingerprint(digest);
}

} // namespace endivehinge
