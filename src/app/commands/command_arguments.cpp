#include <endivehinge/detail/commands/command_arguments.hpp>

#include <getopt.h> // getopt_long

#include <utility> // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{
namespace
{

failure invalid(std::string const & detail)
{
    return {failure_id::invalid_argument, "read command line", {}, detail};
}

std::vector<option> as_getopt(std::vector<command_option> const & options)
{
    std::vector<option> list;
    list.reserve(options.size() + 1);
    for (auto const & one : options)
    {
        list.push_back({one.name.c_str(),
                        one.value.empty() ? no_argument : required_argument,
                        nullptr,
                        0});
    }
    list.push_back({nullptr, 0, nullptr, 0});
    return list;
}

} // namespace

std::optional<command_arguments>
command_arguments::parse(std::vector<command_option> const & options,
                         int argc,
                         char ** argv,
                         failure & reason)
{
    auto const known = as_getopt(options);
    command_arguments result;
    opterr = 0;
    optind = 1;
    int position = 0;
    int found = 0;
    // the colon tells a missing value from an unknown option
    while ((found = getopt_long(argc, argv, ":", known.data(), &position)) !=
           -1)
    {
        std::string const last = argv[optind - 1];
        if (found != 0)
        {
            reason = invalid(found == ':' ? last + " needs a value"
                                          : last + " is not an option here");
            return std::nullopt;
        }
        result.given.push_back(
            {options[static_cast<std::size_t>(position)].name,
             optarg == nullptr ? "" : optarg});
    }
    if (optind < argc)
    {
        reason = invalid(absl::StrCat("'", argv[optind], "' is too much"));
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
    std::optional<std::string> found;
    for (auto const & one : this->given)
    {
        if (one.name == name)
        {
            found = one.value;
        }
    }
    return found;
}

std::optional<std::vector<endpoint>>
command_arguments::addresses(std::string const & name, failure & reason) const
{
    std::vector<endpoint> found;
    for (auto const & one : this->given)
    {
        if (one.name != name)
        {
            continue;
        }
        auto parsed = endpoint::parse(one.value, reason);
        if (!parsed.has_value())
        {
            reason = invalid(absl::StrCat("--", name, ": ", reason.detail));
            return std::nullopt;
        }
        found.push_back(*std::move(parsed));
    }
    return found;
}

std::optional<endpoint> command_arguments::address(std::string const & name,
                                                   failure & reason) const
{
    auto const found = this->addresses(name, reason);
    if (!found.has_value())
    {
        return std::nullopt;
    }
    if (found->empty())
    {
        reason = invalid(absl::StrCat("--", name, " IP:PORT is missing"));
        return std::nullopt;
    }
    return found->back();
}

std::optional<std::int64_t> command_arguments::number(std::string const & name,
                                                      std::int64_t fallback,
                                                      failure & reason) const
{
    auto const found = this->text(name);
    std::int64_t read = fallback;
    if (found.has_value() && (!absl::SimpleAtoi(*found, &read) || read <= 0))
    {
        reason = invalid(
            absl::StrCat("--", name, " takes a whole number above zero"));
        return std::nullopt;
    }
    return read;
}

} // namespace endivehinge::detail
