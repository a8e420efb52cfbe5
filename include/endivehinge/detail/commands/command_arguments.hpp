#ifndef ENDIVEHINGE_DETAIL_COMMANDS_COMMAND_ARGUMENTS_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_COMMAND_ARGUMENTS_HPP

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge::detail
{

/// @brief a long option that a command accepts
struct command_option
{
    std::string name;
    // placeholder for the value in the help; empty if the option takes none
    std::string value;
    std::string help;
};

/// @brief the options that were passed to a command
class command_arguments
{
public:
    /// @brief parses the command line from the name of the command on
    /// @param options the options that the command accepts
    /// @param argv starts with the name of the command
    /// @param reason set to invalid_argument; names the invalid option
    /// @note thread safety: not synchronized, since getopt_long uses global
    ///       state
    [[nodiscard]] static std::optional<command_arguments>
    parse(std::vector<command_option> const & options,
          int argc,
          char ** argv,
          failure & reason);

    /// @brief whether the option was passed
    [[nodiscard]] bool has(std::string const & name) const;

    /// @brief the value of an option; the last value if the option is repeated
    [[nodiscard]] std::optional<std::string>
    text(std::string const & name) const;

    /// @brief all addresses that were passed for an option
    /// @param reason set to invalid_argument if an address does not parse
    [[nodiscard]] std::optional<std::vector<endpoint>>
    addresses(std::string const & name, failure & reason) const;

    /// @brief the address of a required option; the last one if it is repeated
    [[nodiscard]] std::optional<endpoint> address(std::string const & name,
                                                  failure & reason) const;

    /// @brief a positive integer
    /// @param fallback returned if the option was not passed
    [[nodiscard]] std::optional<std::int64_t> number(std::string const & name,
                                                     std::int64_t fallback,
                                                     failure & reason) const;

private:
    struct parsed_option
    {
        std::string name;
        std::string value;
    };

    std::vector<parsed_option> parsed_options;
};

} // namespace endivehinge::detail

#endif
