#include <iostream> // cerr

#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/platform_session.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

std::optional<configuration>
read_configuration_option(command_arguments const & arguments, failure & reason)
{
    auto const path = arguments.text("configuration");
    if (!path.has_value())
    {
        reason = {failure_id::invalid_argument,
                  "read command line",
                  {},
                  "--configuration FILE is missing"};
        return std::nullopt;
    }
    auto const text = read_file(*path, reason);
    return text.has_value() ? read_configuration(*text, *path, reason)
                            : std::nullopt;
}

std::optional<object_version>
parse_expected_version(command_arguments const & arguments, failure & reason)
{
    if (!arguments.has("expect-version"))
    {
        return std::nullopt;
    }
    auto const number = arguments.number("expect-version", 0, reason);
    return number.has_value() ? std::optional(object_version(
                                    static_cast<std::uint64_t>(*number)))
                              : std::nullopt;
}

} // namespace

exit_code run_apply(command_arguments const & arguments)
{
    failure reason;
    auto const platform = arguments.address("platform", reason);
    if (!platform.has_value() || !check_wait_options(arguments, reason))
    {
        return report(reason);
    }
    auto const expected_version = parse_expected_version(arguments, reason);
    if (arguments.has("expect-version") && !expected_version.has_value())
    {
        return report(reason);
    }
    auto const new_configuration = read_configuration_option(arguments, reason);
    if (!new_configuration.has_value())
    {
        static_cast<void>(report(reason));
        return exit_usage;
    }
    platform_session session(*platform, operator_name(arguments));
    edit_result done;
    if (!session.editor().apply(
            *new_configuration, expected_version, done, reason))
    {
        for (auto const & object_name : done.changed)
        {
            std::cerr << "already changed: " << object_name << '\n';
        }
        return report(reason);
    }
    return finish_edit(done, arguments);
}

} // namespace endivehinge::detail
