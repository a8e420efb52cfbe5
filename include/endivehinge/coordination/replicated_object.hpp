#ifndef ENDIVEHINGE_COORDINATION_REPLICATED_OBJECT_HPP
#define ENDIVEHINGE_COORDINATION_REPLICATED_OBJECT_HPP

#include <string> // string

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief one stored object as passed between nodes, its content not decoded
struct replicated_object
{
    std::string name;
    object_version version;
    // the text as stored
    std::string content;
    bool deleted = false;
};

} // namespace endivehinge

#endif
