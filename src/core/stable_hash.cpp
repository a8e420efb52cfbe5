#include <endivehinge/core/stable_hash.hpp>

#include <memory> // unique_ptr

#include <xxhash.h> // XXH3_64bits_withSeed, XXH3_createState

namespace endivehinge
{

std::uint64_t stable_hash(std::string const & text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::vector<std::string_view> const & parts,
                          std::uint64_t seed)
{
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> const state(
        XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset_withSeed(state.get(), seed);
    for (auto const & part : parts)
    {
        XXH3_64bits_update(state.get(), part.data(), part.size());
    }
    return XXH3_64bits_digest(state.get());
}

std::uint64_t stable_hash(std::uint64_t number, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

} // namespace endivehinge
