#ifndef ENDIVEHINGE_CORE_EXTERNAL_TEXT_HPP
#define ENDIVEHINGE_CORE_EXTERNAL_TEXT_HPP

#include <string>      // string
#include <string_view> // string_view

namespace endivehinge
{

/// @brief whether a text from a peer may name something: it can be written as
/// JSON, sent as the value of a header field and logged without any change
///
/// Such a text is UTF-8 of 1 to 1,024 bytes, without control characters and
/// without a space at its start or end.
/// @note thread safety: any thread
[[nodiscard]] bool is_valid_identifier(std::string_view text);

/// @brief the text with bytes that are not UTF-8 as U+FFFD, and control
/// characters as spaces
/// @note thread safety: any thread
[[nodiscard]] std::string to_printable(std::string_view text);

} // namespace endivehinge

#endif
