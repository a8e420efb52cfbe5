#ifndef ENDIVEHINGE_COORDINATION_OBJECT_CHANGES_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_CHANGES_HPP

#include <vector> // vector

#include <endivehinge/coordination/replicated_object.hpp>

namespace endivehinge
{

/// @brief what brings an older copy of one kind up to a version
struct object_changes
{
    // the version of the copy that results
    object_version version;
    // the objects are all there are, not only those that changed
    bool complete = false;
    std::vector<replicated_object> objects;
};

} // namespace endivehinge

#endif
