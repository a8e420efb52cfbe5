#include <endivehinge/core/fingerprint.hpp>

#include <cstdint> // uint64_t

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
request_fingerprint fingerprint_of(request const & source)
{
    std::uint64_t digest = stable_hash(source.service.value());
    digest = stable_hash(source.message.method, digest);
    digest = stable_hash(source.message.path, digest);
    digest = stable_hash(
        source.key.has_value() ? source.key->value() : std::string(), digest);
    digest = stable_hash(source.message.body, digest);
    return request_fingerprint(digest);
}

} // namespace endivehinge
