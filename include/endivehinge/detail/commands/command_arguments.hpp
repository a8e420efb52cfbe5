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

/// @brief one long option of a command
struct command_option
{
    std::string name;
    // what its value is called; empty: it takes none
    std::string value;
    std::string help;
};

/// @brief the options of one call of a command
class command_arguments
{
public:
    /// @brief reads the command line after the name of the command
    /// @param options those that the command takes
    /// @param reason names the option that is wrong
    /// @note thread safety: one thread at a time, as getopt_long
    [[nodiscard]] static std::optional<command_arguments>
    parse(std::vector<command_option> const & options,
          int argc,
          char ** argv,
          failure & reason);

    /// @brief whether an option is there
    [[nodiscard]] bool has(std::string const & name) const;

    /// @brief the value of an option, the last one where it is repeated
    [[nodiscard]] std::optional<std::string>
    text(std::string const & name) const;

    /// @brief every address that an option gives
    /// @param reason invalid_argument where one does not parse
    [[nodiscard]] std::optional<std::vector<endpoint>>
    addresses(std::string const & name, failure & reason) const;

    /// @brief the address of an option that has to be there
    [[nodiscard]] std::optional<endpoint> address(std::string const & name,
                                                  failure & reason) const;

    /// @brief a whole number above zero
    [[nodiscard]] std::optional<std::int64_t> number(std::string const & name,
                                                     std::int64_t fallback,
                                                     failure & reason) const;

private:
    struct given_option
    {
        std::string name;
        std::string value;
    };

    std::vector<given_option> given;
};

} // namespace endivehinge::detail

#endif
