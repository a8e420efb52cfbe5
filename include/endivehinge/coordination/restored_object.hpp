#ifndef ENDIVEHINGE_COORDINATION_RESTORED_OBJECT_HPP
#define ENDIVEHINGE_COORDINATION_RESTORED_OBJECT_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/object_digest.hpp>

namespace endivehinge
{

/// @brief an object before and after a restore of the store
struct restored_object
{
    std::string name;
    // in the copy of the store that this node had; empty: it had none
    std::optional<object_digest> known;
    // in the list of the restored store; empty: missing
    std::optional<object_digest> listed;
};

} // namespace endivehinge

#endif
