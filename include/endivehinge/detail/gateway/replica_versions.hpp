#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_VERSIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_VERSIONS_HPP

#include <array>   // array
#include <cstddef> // size_t

#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief the versions of a node's store copies, one per object kind
struct replica_versions
{
    // indexed by object_kind
    std::array<object_version, 3> kinds;

    /// @brief whether at least one version is newer than that of another node
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
        return false;
    }
};

} // namespace endivehinge::detail

#endif
