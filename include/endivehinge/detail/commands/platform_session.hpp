#ifndef ENDIVEHINGE_DETAIL_COMMANDS_PLATFORM_SESSION_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_PLATFORM_SESSION_HPP

#include <endivehinge/coordination/conditional_writer.hpp>
#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/configuration_editor.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>

namespace endivehinge::detail
{

/// @brief waits longer after each failed try, up to a number of tries
class exponential_retry_pause final : public retry_pause
{
public:
    [[nodiscard]] bool wait(int failures) override;
};

/// @brief an operator's way to the platform for one command
/// @note thread safety: one thread
class platform_session
{
public:
    /// @param platform where it listens
    /// @param author who makes the changes
    platform_session(endpoint const & platform, std::string author);

    /// @brief makes the changes
    [[nodiscard]] configuration_editor & editor();

private:
    http_client client;
    http_object_store store;
    exponential_retry_pause pause;
    configuration_editor edits;
};

/// @brief the --operator option, or the name of the login
[[nodiscard]] std::string operator_name(command_arguments const & arguments);

/// @brief prints what was changed, and waits where --wait asks for it
[[nodiscard]] exit_code finish_edit(edit_result const & done,
                                    command_arguments const & arguments);

/// @brief whether the options of --wait fit together
[[nodiscard]] bool check_wait_options(command_arguments const & arguments,
                                      failure & reason);

} // namespace endivehinge::detail

#endif
