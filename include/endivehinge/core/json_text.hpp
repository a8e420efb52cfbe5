#ifndef ENDIVEHINGE_CORE_JSON_TEXT_HPP
#define ENDIVEHINGE_CORE_JSON_TEXT_HPP

#include <string> // string

#include <nlohmann/json_fwd.hpp> // json

namespace endivehinge
{

/// @brief writes a JSON value as text; bytes of its strings that are not UTF-8
/// become U+FFFD
///
/// All JSON is written here, since the library's own default throws for such
/// bytes, which may come from any peer.
/// @note thread safety: any thread
[[nodiscard]] std::string to_json_text(nlohmann::json const & value);

} // namespace endivehinge

#endif
