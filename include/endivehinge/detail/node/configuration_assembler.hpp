#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_ASSEMBLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_ASSEMBLER_HPP

#include <string> // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/coordination/configuration_state.hpp>

namespace endivehinge::detail
{

/// @brief makes the typed configuration of the objects of the platform
/// @note an object that does not read is logged and keeps its last good
///       value: one faulty write takes no service away. Thread safety: as a
///       plain object.
class configuration_assembler
{
public:
    /// @brief the configuration that a state stands for
    [[nodiscard]] configuration assemble(configuration_state const & state);

private:
    struct entry
    {
        object_version version;
        configuration_entry read;
        service_configuration service;
        bool good = false;
    };

    void update(entry & kept, stored_object const & object);

    absl::btree_map<std::string, entry> entries;
};

} // namespace endivehinge::detail

#endif
