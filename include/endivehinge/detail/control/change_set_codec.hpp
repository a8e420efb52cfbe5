#ifndef ENDIVEHINGE_DETAIL_CONTROL_CHANGE_SET_CODEC_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_CHANGE_SET_CODEC_HPP

#include <optional> // optional

#include <coordination.pb.h> // wire::change_set

#include <endivehinge/coordination/change_set.hpp>

namespace endivehinge::detail
{

/// @brief writes a set of changes as a message
/// @note thread safety: any thread
[[nodiscard]] wire::change_set encode(change_set const & changes);

/// @brief reads a set of changes from a message
/// @return nothing where it is none: its versions do not lie between its
///         bounds, or the newest is not the upper one
/// @param reason invalid_message
/// @note thread safety: any thread
[[nodiscard]] std::optional<change_set> decode(wire::change_set const & message,
                                               failure & reason);

} // namespace endivehinge::detail

#endif
