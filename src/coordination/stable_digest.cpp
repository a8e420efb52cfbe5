#include <endivehinge/coordination/stable_digest.hpp>

namespace endivehinge
{

// FNV-1a
std::uint64_t stable_digest(absl::string_view text)
{
    std::uint64_t digest = 0xcbf29ce484222325ULL;
    for (char const character : text)
    {
        digest ^= static_cast<unsigned char>(character);
        digest *= 0x100000001b3ULL;
    }
    return digest;
}

// the finalizer of MurmurHash3
std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

} // namespace endivehinge
