#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_ENTRY_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_ENTRY_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief the kind of the platform's objects that hold the configuration
constexpr char const * configuration_kind = "configuration";

/// @brief what an object of the configuration says something about
enum class entry_subject
{
    service,
    domain,
    target,
};

/// @brief the name of a kind of subject, as messages print it
[[nodiscard]] char const * to_string(entry_subject subject);

/// @brief one object of the operators' configuration in the platform
/// @note one a service, and one a failure domain or target that was ever
///       drained; undraining writes it again, so that its version grows on
struct configuration_entry
{
    entry_subject subject = entry_subject::service;
    // of the service, failure domain or target
    std::string name;
    // who wrote it, for operators that race
    std::string author;
    // unique to one write, so that its writer knows it again
    std::string write_id;
    // of a service: its YAML
    std::string text;
    // of a failure domain or target
    bool drained = false;

    /// @brief the name of the object in the platform
    /// @note pure; thread safety: as a const object
    [[nodiscard]] std::string object_name() const;

    /// @brief the value of the object, in JSON
    /// @note pure; thread safety: as a const object
    [[nodiscard]] std::string to_value() const;

    /// @brief reads an object of the platform
    /// @param reason invalid_configuration, with the object's name
    [[nodiscard]] static std::optional<configuration_entry>
    parse(std::string const & object_name,
          std::string const & value,
          failure & reason);
};

} // namespace endivehinge

#endif
