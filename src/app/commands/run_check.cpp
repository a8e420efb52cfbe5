#include <iostream> // cout

#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

template <class Parse>
exit_code check_file(std::string const & path, Parse parse)
{
    failure reason;
    auto const text = read_file(path, reason);
    if (!text.has_value() || !parse(*text, path, reason).has_value())
    {
        static_cast<void>(report(reason));
        return exit_usage;
    }
    std::cout << path << ": good\n";
    return exit_ok;
}

} // namespace

exit_code run_check(command_arguments const & arguments)
{
    auto const settings = arguments.text("settings");
    auto const configuration = arguments.text("configuration");
    if (!settings.has_value() && !configuration.has_value())
    {
        return report({failure_id::invalid_argument,
                       "read command line",
                       {},
                       "--settings FILE or --configuration FILE is missing"});
    }
    exit_code result = exit_ok;
    if (settings.has_value())
    {
        result = check_file(*settings, &read_node_settings);
    }
    if (configuration.has_value() && result == exit_ok)
    {
        result = check_file(*configuration, &read_configuration);
    }
    return result;
}

} // namespace endivehinge::detail
