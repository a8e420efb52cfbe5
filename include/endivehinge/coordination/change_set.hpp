#ifndef ENDIVEHINGE_COORDINATION_CHANGE_SET_HPP
#define ENDIVEHINGE_COORDINATION_CHANGE_SET_HPP

#include <vector> // vector

#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief every change of the configuration after one version and up to
///        another; of an object that changed twice, the newest
struct change_set
{
    object_version after;
    object_version upto;
    std::vector<stored_object> objects;
};

} // namespace endivehinge

#endif
