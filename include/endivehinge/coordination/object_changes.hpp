#ifndef ENDIVEHINGE_COORDINATION_OBJECT_CHANGES_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_CHANGES_HPP

#include <vector> // vector

#include <endivehinge/coordination/replicated_object.hpp>

namespace endivehinge
{

/// @brief changes that bring a copy of the objects of one kind to a version
struct object_changes
{
    // version of the copy after the changes are applied
    object_version version;
    // `objects` lists all existing objects, not only the changed ones
    bool complete = false;
    std::vector<replicated_object> objects;
};

} // namespace endivehinge

#endif
