#include <endivehinge/core/stable_hash.hpp>

#include <xxhash.h> // XXH3_64bits_withSeed

namespace endivehinge
{

std::uint64_t stable_hash(std::string const & text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t number, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

} // namespace endivehinge
