#ifndef ENDIVEHINGE_COORDINATION_OBJECT_DIGEST_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_DIGEST_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a stored object without its content
struct object_digest
{
    object_version version;
    // hash of the content
    std::uint64_t content = 0;
    // hash of what the object describes, e.g. one incarnation of a target; the
    // same while that changes its state
    std::uint64_t subject = 0;
};

} // namespace endivehinge

#endif
