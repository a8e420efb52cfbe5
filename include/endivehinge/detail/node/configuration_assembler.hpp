#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_ASSEMBLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_ASSEMBLER_HPP

#include <string> // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/coordination/configuration_state.hpp>

namespace endivehinge::detail
{

/// @brief parses the platform's configuration objects into a configuration
/// @note An invalid object is logged and keeps its last valid value, so that a
///       single faulty write does not remove a service. Thread safety: none;
///       the caller synchronizes access.
class configuration_assembler
{
public:
    /// @brief builds the configuration from the objects of a state
    [[nodiscard]] configuration assemble(configuration_state const & state);

private:
    struct cached_entry
    {
        object_version version;
        configuration_entry parsed;
        service_configuration service;
        bool valid = false;
    };

    void update(cached_entry & cached, stored_object const & object);

    absl::btree_map<std::string, cached_entry> entries;
};

} // namespace endivehinge::detail

#endif
