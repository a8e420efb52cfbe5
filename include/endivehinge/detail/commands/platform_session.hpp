#ifndef ENDIVEHINGE_DETAIL_COMMANDS_PLATFORM_SESSION_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_PLATFORM_SESSION_HPP

#include <endivehinge/coordination/conditional_writer.hpp>
#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/configuration_editor.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>

namespace endivehinge::detail
{

/// @brief doubles the delay after each failed attempt; limits the attempts
class exponential_retry_pause final : public retry_policy
{
public:
    [[nodiscard]] bool wait(int failures) override;
};

/// @brief connects one operator command to the platform
/// @note thread safety: one thread
class platform_session
{
public:
    /// @param platform address of the object API of the platform
    /// @param author operator name that is stored with each change
    platform_session(endpoint const & platform, std::string author);

    /// @brief the editor that writes the changes of this command
    [[nodiscard]] configuration_editor & editor();

private:
    http_client client;
    http_object_store store;
    exponential_retry_pause pause;
    configuration_editor configuration_edits;
};

/// @brief value of --operator, else of the environment variable USER
[[nodiscard]] std::string operator_name(command_arguments const & arguments);

/// @brief prints the changes; with --wait, waits until they are active
/// @return exit_not_active_in_time if the wait timed out
[[nodiscard]] exit_code finish_edit(edit_result const & done,
                                    command_arguments const & arguments);

/// @brief checks that the options of --wait are valid and complete
/// @param reason set to invalid_argument if they are not
[[nodiscard]] bool check_wait_options(command_arguments const & arguments,
                                      failure & reason);

} // namespace endivehinge::detail

#endif
