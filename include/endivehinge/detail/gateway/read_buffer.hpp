#ifndef ENDIVEHINGE_DETAIL_GATEWAY_READ_BUFFER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_READ_BUFFER_HPP

#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

namespace endivehinge::detail
{

/// @brief frees the memory of a buffer without unread bytes
///
/// A node keeps idle connections to and from each node of its fleet. With a
/// read buffer for each of them, its memory would grow with the fleet.
/// @note thread safety: none
inline void release_if_empty(boost::beast::flat_buffer & buffer)
{
    if (buffer.size() == 0)
    {
        buffer.clear();
        buffer.shrink_to_fit();
    }
}

} // namespace endivehinge::detail

#endif
