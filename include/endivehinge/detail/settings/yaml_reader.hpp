#ifndef ENDIVEHINGE_DETAIL_SETTINGS_YAML_READER_HPP
#define ENDIVEHINGE_DETAIL_SETTINGS_YAML_READER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>

namespace endivehinge::detail
{

/// @brief reads the settings of a node and checks each field and the fields
/// against each other
/// @param text the content of the document, in YAML
/// @param source what errors call it, such as its file name
/// @param reason the line, the field and the fix
[[nodiscard]] std::optional<node_settings> read_node_settings(
    std::string const & text, std::string const & source, failure & reason);

/// @brief reads and checks the operators' configuration as a whole
/// @param text the content of the document, in YAML
/// @param source what errors call it, such as its file name
/// @param reason the line, the field and the fix
[[nodiscard]] std::optional<configuration> read_configuration(
    std::string const & text, std::string const & source, failure & reason);

/// @brief reads one service by itself, as the platform keeps it
/// @param text the content of the document, in YAML
/// @param source what errors call it
/// @param reason the line, the field and the fix
/// @note does not look at the services that it depends on
[[nodiscard]] std::optional<service_configuration> read_service_configuration(
    std::string const & text, std::string const & source, failure & reason);

/// @brief reads a whole file
[[nodiscard]] std::optional<std::string> read_file(std::string const & path,
                                                   failure & reason);

} // namespace endivehinge::detail

#endif
