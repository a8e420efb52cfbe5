#ifndef ENDIVEHINGE_COORDINATION_CHANGE_SET_HPP
#define ENDIVEHINGE_COORDINATION_CHANGE_SET_HPP

#include <vector> // vector

#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief all changes of the configuration with a version greater than `after`
///        and at most `upto`; of an object that changed several times, only
///        the newest state
struct change_set
{
    object_version after;
    object_version upto;
    std::vector<stored_object> objects;
};

} // namespace endivehinge

#endif
