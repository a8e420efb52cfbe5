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

/// @brief the result of an edit
struct edit_result
{
    // newest version among the objects that the edit wrote or found unchanged
    object_version version;
    // names of the objects that were written or removed
    std::vector<std::string> changed;
};

/// @brief changes operators' configuration objects by conditional updates,
///        which never overwrite a concurrent change of another operator
/// @note thread safety: one thread; blocks on I/O
class configuration_editor
{
public:
    /// @param store object store of the platform; must outlive the editor
    /// @param pause delay between attempts; must outlive the editor
    /// @param author operator name that is stored with each change
    configuration_editor(object_store & store,
                         retry_policy & pause,
                         std::string author);

    /// @brief writes the services that differ from the store and removes the
    ///        services that the new configuration does not contain
    /// @param new_configuration must have passed validation
    /// @param expected if set, fails if a stored service has a later version
    /// @param result also lists the objects changed before a failure
    /// @param reason for version_conflict, names the author of the other
    ///        change
    [[nodiscard]] bool apply(configuration const & new_configuration,
                             std::optional<object_version> expected,
                             edit_result & result,
                             failure & reason);

    /// @brief drains a failure domain or a target, or ends its drain
    /// @param subject domain or target
    /// @param reason for version_conflict, names the author of the other
    ///        change
    [[nodiscard]] bool set_drained(entry_subject subject,
                                   std::string const & name,
                                   bool drained,
                                   edit_result & result,
                                   failure & reason);

private:
    bool write(configuration_entry entry,
               object_version expected,
               edit_result & result,
               failure & reason);
    bool remove(stored_object const & object,
                edit_result & result,
                failure & reason);

    object_store & store;
    conditional_writer writer;
    std::string author;
};

} // namespace endivehinge::detail

#endif
