#ifndef ENDIVEHINGE_COORDINATION_STORE_CALL_HPP
#define ENDIVEHINGE_COORDINATION_STORE_CALL_HPP

#include <optional> // optional

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a call to the platform that a leader or candidate must make
struct store_call
{
    // the assignment to write; nothing: read the object
    std::optional<assignment> value;
    // for a write: the version to replace; 0 creates the object
    object_version expected;
};

/// @brief the assignment as stored on the platform
struct stored_assignment
{
    // nothing if there is no object
    std::optional<assignment> value;
    object_version version;
};

/// @brief the result of a write as far as the writer can tell
enum class write_result
{
    done,     // it took effect
    conflict, // another write, or an attempt of the same one, came first
    unknown,  // it may have taken effect or may still do so
};

} // namespace endivehinge

#endif
