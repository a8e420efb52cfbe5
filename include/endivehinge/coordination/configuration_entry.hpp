#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_ENTRY_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_ENTRY_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief kind of the platform objects that store the configuration
constexpr char const * configuration_kind = "configuration";

/// @brief what a configuration object describes
enum class entry_subject
{
    service,
    domain,
    target,
};

/// @brief returns the subject's name, used in object names and messages
[[nodiscard]] char const * to_string(entry_subject subject);

/// @brief one configuration object stored in the platform
/// @note There is one object per service, and one per failure domain or target
///       that was ever drained. Undraining writes the object again instead of
///       removing it, so that its version keeps increasing.
struct configuration_entry
{
    entry_subject subject = entry_subject::service;
    // name of the service, failure domain or target
    std::string name;
    // operator who wrote it; reported to operators whose write conflicts
    std::string author;
    // unique per write, so that a writer recognizes its own write when it
    // reads the object back after a lost response
    std::string write_id;
    // YAML text; only for a service
    std::string text;
    // only for a failure domain or target
    bool drained = false;

    /// @brief name of the object in the platform
    /// @note pure; thread safety: any thread while the object is not modified
    [[nodiscard]] std::string object_name() const;

    /// @brief value of the object, as JSON
    /// @note pure; thread safety: any thread while the object is not modified
    [[nodiscard]] std::string to_value() const;

    /// @brief parses an object read from the platform
    /// @param reason invalid_configuration, with the object's name as peer
    [[nodiscard]] static std::optional<configuration_entry>
    parse(std::string const & object_name,
          std::string const & value,
          failure & reason);
};

} // namespace endivehinge

#endif
