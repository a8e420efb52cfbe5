#ifndef ENDIVEHINGE_COORDINATION_STORE_CALL_HPP
#define ENDIVEHINGE_COORDINATION_STORE_CALL_HPP

#include <optional> // optional

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a call to the platform that a keeper wants made
struct store_call
{
    // nothing: read the object; else write it
    std::optional<assignment> value;
    // of a write: the version that it replaces; 0 creates
    object_version expected;
};

/// @brief the object as the platform holds it
struct stored_assignment
{
    // nothing: there is no object
    std::optional<assignment> value;
    object_version version;
};

/// @brief what is known of a write that was sent
enum class write_result
{
    done,     // it took effect
    conflict, // another write came first, or the same one did
    unknown,  // it may have taken effect, or may yet
};

} // namespace endivehinge

#endif
