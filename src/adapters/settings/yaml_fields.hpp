#ifndef ENDIVEHINGE_ADAPTERS_SETTINGS_YAML_FIELDS_HPP
#define ENDIVEHINGE_ADAPTERS_SETTINGS_YAML_FIELDS_HPP

#include <cstdint>   // int64_t
#include <exception> // exception
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include <yaml-cpp/yaml.h> // Node

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge::detail
{

/// @brief what is wrong in a text, and where
/// @note thrown and caught within the readers only
struct yaml_error final : public std::exception
{
    yaml_error(YAML::Mark const & mark,
               std::string const & field,
               std::string const & problem,
               std::string const & fix);

    [[nodiscard]] char const * what() const noexcept override;

    int line;
    std::string text;
};

/// @brief the least and the greatest value that a field takes
template <class Value>
struct field_bounds
{
    Value least;
    Value greatest;
};

/// @brief reads the fields of one YAML map, each once, and misses none
/// @note thread safety: one thread
class yaml_fields
{
public:
    /// @brief throws where the node is no map or names a field twice
    /// @param path what errors call the map; empty for the whole text
    yaml_fields(YAML::Node const & node, std::string path);

    /// @brief the node of a field; nothing where it is absent
    [[nodiscard]] std::optional<YAML::Node> find(std::string const & name);

    /// @brief the node of a field that has to be there
    [[nodiscard]] YAML::Node require(std::string const & name);

    /// @brief letters, digits, `.`, `_` and `-`, at most 128 of them
    [[nodiscard]] std::string identifier(std::string const & name);

    /// @brief an address of the form IP:PORT
    [[nodiscard]] endpoint address(std::string const & name);

    /// @brief any text
    [[nodiscard]] std::string text(std::string const & name,
                                   std::string const & fallback);

    /// @brief true or false
    [[nodiscard]] bool flag(std::string const & name, bool fallback);

    /// @brief a number with a fraction
    [[nodiscard]] double number(std::string const & name,
                                double fallback,
                                field_bounds<double> bounds);

    /// @brief a whole number of milliseconds
    [[nodiscard]] std::optional<duration>
    milliseconds(std::string const & name, field_bounds<std::int64_t> bounds);

    /// @brief a whole number of seconds
    [[nodiscard]] std::optional<duration>
    seconds(std::string const & name, field_bounds<std::int64_t> bounds);

    /// @brief throws where the map has fields that were not asked for
    void finish() const;

    /// @brief what errors call a field of this map
    [[nodiscard]] std::string path_of(std::string const & name) const;

    /// @brief where the map begins
    [[nodiscard]] YAML::Mark mark() const;

private:
    std::optional<std::int64_t> whole(std::string const & name,
                                      char const * unit,
                                      field_bounds<std::int64_t> bounds);

    YAML::Node node;
    std::string path;
    std::vector<std::string> known;
};

/// @brief a text checked to be an identifier
[[nodiscard]] std::string read_identifier(YAML::Node const & node,
                                          std::string const & field);

/// @brief the elements of a list; throws where the node is none
[[nodiscard]] std::vector<YAML::Node> read_list(YAML::Node const & node,
                                                std::string const & field);

/// @brief puts what a reader threw into words
[[nodiscard]] failure describe(std::exception const & error,
                               failure_id id,
                               std::string const & source);

} // namespace endivehinge::detail

#endif
