#ifndef ENDIVEHINGE_DETAIL_COMMANDS_CONFIGURATION_EDITOR_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_CONFIGURATION_EDITOR_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/conditional_writer.hpp>
#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>

namespace endivehinge::detail
{

/// @brief what an edit changed
struct edit_result
{
    // of the newest object that the edit relies on, written now or before
    object_version version;
    // the objects that were written or removed
    std::vector<std::string> changed;
};

/// @brief changes the operators' objects, each by a conditional update
/// @note where another operator came first, nothing of theirs is written
///       over. Thread safety: one thread; blocks on I/O.
class configuration_editor
{
public:
    /// @param store the platform; outlives the editor
    /// @param pause waits between tries; outlives the editor
    /// @param author who makes the edits
    configuration_editor(object_store & store,
                         retry_policy & pause,
                         std::string author);

    /// @brief writes what differs and removes the services that are gone
    /// @param next checked as a whole
    /// @param expected where set: fails if a service has a later version
    /// @param done filled also where a later object failed
    /// @param reason version_conflict names who came first
    [[nodiscard]] bool apply(configuration const & next,
                             std::optional<object_version> expected,
                             edit_result & done,
                             failure & reason);

    /// @brief drains a failure domain or a target, or puts it back
    /// @param subject domain or target
    /// @param reason version_conflict names who came first
    [[nodiscard]] bool set_drained(entry_subject subject,
                                   std::string const & name,
                                   bool drained,
                                   edit_result & done,
                                   failure & reason);

private:
    bool write(configuration_entry entry,
               object_version expected,
               edit_result & done,
               failure & reason);
    bool
    remove(stored_object const & object, edit_result & done, failure & reason);

    object_store & store;
    conditional_writer writer;
    std::string author;
};

} // namespace endivehinge::detail

#endif
