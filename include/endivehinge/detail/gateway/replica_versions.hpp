#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_VERSIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_VERSIONS_HPP

#include <array>    // array
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional

#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief what a node's store copies reflect
struct replica_versions
{
    // indexed by object_kind, without the roll-outs
    std::array<object_version, 3> kinds;
    // the copy of the roll-outs; empty if the node replicates none
    std::optional<object_version> rollouts;
    // the operators' version of the active configuration; 0: none. A restored
    // store may hold an earlier one at a newer position
    std::uint64_t configuration_version = 0;

    /// @brief whether at least one copy, or the active configuration, is newer
    /// than that of another node
    /// @note thread safety: any thread
    [[nodiscard]] bool is_newer_than(replica_versions const & other) const
    {
        for (std::size_t i = 0; i < this->kinds.size(); ++i)
        {
            if (this->kinds[i] > other.kinds[i])
            {
                return true;
            }
        }
        // a node without roll-outs never takes any
        if (this->rollouts && other.rollouts &&
            *this->rollouts > *other.rollouts)
        {
            return true;
        }
        return this->configuration_version > other.configuration_version;
    }

    /// @brief takes each position without an era for one of the era of another
    /// node's position
    void assume_eras_of(replica_versions const & other)
    {
        for (std::size_t i = 0; i < this->kinds.size(); ++i)
        {
            if (this->kinds[i] != object_version() &&
                this->kinds[i].era() == store_era())
            {
                this->kinds[i] = object_version(other.kinds[i].era(),
                                                this->kinds[i].value());
            }
        }
    }
};

} // namespace endivehinge::detail

#endif
