#include <endivehinge/detail/commands/command_arguments.hpp>

#include <getopt.h> // getopt_long

#include <utility> // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{
namespace
{

failure argument_failure(std::string const & detail)
{
    return {failure_id::invalid_argument, "read command line", {}, detail};
}

std::vector<option>
to_getopt_options(std::vector<command_option> const & options)
{
    std::vector<option> converted;
    converted.reserve(options.size() + 1);
    for (auto const & option_entry : options)
    {
        converted.push_back(
            {option_entry.name.c_str(),
             option_entry.value.empty() ? no_argument : required_argument,
             nullptr,
             0});
    }
    converted.push_back({nullptr, 0, nullptr, 0});
    return converted;
}

} // namespace

std::optional<command_arguments>
command_arguments::parse(std::vector<command_option> const & options,
                         int argc,
                         char ** argv,
                         failure & reason)
{
    auto const getopt_options = to_getopt_options(options);
    command_arguments result;
    opterr = 0;
    optind = 1;
    int index = 0;
    int short_option = 0;
    // The leading colon makes getopt_long report a missing value as ':' and an
    // unknown option as '?'.
    while ((short_option = getopt_long(
                argc, argv, ":", getopt_options.data(), &index)) != -1)
    {
        std::string const argument = argv[optind - 1];
        if (short_option != 0)
        {
            reason = argument_failure(
                short_option == ':' ? argument + " needs a value"
                                    : argument + " is not an option here");
            return std::nullopt;
        }
        result.parsed_options.push_back(
            {options[static_cast<std::size_t>(index)].name,
             optarg == nullptr ? "" : optarg});
    }
    if (optind < argc)
    {
        reason =
            argument_failure(absl::StrCat("'", argv[optind], "' is too much"));
        return std::nullopt;
    }
    return result;
}

bool command_arguments::has(std::string const & name) const
{
    return this->text(name).has_value();
}

std::optional<std::string>
command_arguments::text(std::string const & name) const
{
    std::optional<std::string> value;
    for (auto const & option_entry : this->parsed_options)
    {
        if (option_entry.name == name)
        {
            value = option_entry.value;
        }
    }
    return value;
}

std::optional<std::vector<endpoint>>
command_arguments::addresses(std::string const & name, failure & reason) const
{
    std::vector<endpoint> endpoints;
    for (auto const & option_entry : this->parsed_options)
    {
        if (option_entry.name != name)
        {
            continue;
        }
        auto parsed = endpoint::parse(option_entry.value, reason);
        if (!parsed.has_value())
        {
            reason =
                argument_failure(absl::StrCat("--", name, ": ", reason.detail));
            return std::nullopt;
        }
        endpoints.push_back(*std::move(parsed));
    }
    return endpoints;
}

std::optional<endpoint> command_arguments::address(std::string const & name,
                                                   failure & reason) const
{
    auto const endpoints = this->addresses(name, reason);
    if (!endpoints.has_value())
    {
        return std::nullopt;
    }
    if (endpoints->empty())
    {
        reason =
            argument_failure(absl::StrCat("--", name, " IP:PORT is missing"));
        return std::nullopt;
    }
    return endpoints->back();
}

std::optional<std::int64_t> command_arguments::number(std::string const & name,
                                                      std::int64_t fallback,
                                                      failure & reason) const
{
    auto const value = this->text(name);
    std::int64_t number = fallback;
    if (value.has_value() &&
        (!absl::SimpleAtoi(*value, &number) || number <= 0))
    {
        reason = argument_failure(
            absl::StrCat("--", name, " takes a whole number above zero"));
        return std::nullopt;
    }
    return number;
}

} // namespace endivehinge::detail
