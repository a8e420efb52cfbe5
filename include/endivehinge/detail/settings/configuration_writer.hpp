#ifndef ENDIVEHINGE_DETAIL_SETTINGS_CONFIGURATION_WRITER_HPP
#define ENDIVEHINGE_DETAIL_SETTINGS_CONFIGURATION_WRITER_HPP

#include <string> // string

#include <endivehinge/coordination/configuration.hpp>

namespace endivehinge::detail
{

/// @brief writes a service as YAML with every field, in a fixed order
/// @note equal services give equal texts; read_service_configuration reads
///       them back; thread safety: any thread
[[nodiscard]] std::string
write_service_configuration(service_configuration const & service);

} // namespace endivehinge::detail

#endif
