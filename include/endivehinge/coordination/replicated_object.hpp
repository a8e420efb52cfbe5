#ifndef ENDIVEHINGE_COORDINATION_REPLICATED_OBJECT_HPP
#define ENDIVEHINGE_COORDINATION_REPLICATED_OBJECT_HPP

#include <string> // string

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief one object of the store as nodes pass it on, its content not decoded
struct replicated_object
{
    std::string name;
    object_version version;
    // the content as the store's text
    std::string content;
    bool deleted = false;
};

} // namespace endivehinge

#endif
