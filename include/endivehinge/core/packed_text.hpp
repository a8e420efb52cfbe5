#ifndef ENDIVEHINGE_CORE_PACKED_TEXT_HPP
#define ENDIVEHINGE_CORE_PACKED_TEXT_HPP

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace endivehinge
{

/// @brief compresses a text, as the differences from a similar text
/// @param base empty: the text alone
/// @return empty if there is no memory for the compression
/// @note pure; thread safety: any thread
[[nodiscard]] std::string pack_text(std::string_view text,
                                    std::string_view base);

/// @brief restores a text that pack_text() compressed with the same base
/// @param max_bytes length of the longest acceptable text
/// @return no value if the packed text is malformed, states a longer text or
/// was compressed with another base
/// @note pure; thread safety: any thread
[[nodiscard]] std::optional<std::string> unpack_text(std::string_view packed,
                                                     std::string_view base,
                                                     std::size_t max_bytes);

} // namespace endivehinge

#endif
