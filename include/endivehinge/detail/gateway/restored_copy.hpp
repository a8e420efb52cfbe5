#ifndef ENDIVEHINGE_DETAIL_GATEWAY_RESTORED_COPY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_RESTORED_COPY_HPP

#include <cstddef> // size_t
#include <string>  // string

#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief what happened to the copy of one kind when the store returned from
/// an older copy
struct restored_copy
{
    object_kind kind = object_kind::configuration;
    object_version old_version;
    object_version new_version;
    // objects that this node had and the restored list lacks
    std::size_t missing_objects = 0;
    bool own_entry_missing = false;
    // the store or the node that sent the list
    std::string source;
};

} // namespace endivehinge::detail

#endif
