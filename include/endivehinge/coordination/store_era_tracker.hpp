#ifndef ENDIVEHINGE_COORDINATION_STORE_ERA_TRACKER_HPP
#define ENDIVEHINGE_COORDINATION_STORE_ERA_TRACKER_HPP

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief how an era compares with the newest one known before
enum class era_change
{
    same,    // also the first era that is learnt
    rose,    // the store returned from an older copy
    earlier, // a late message about a history that the store dropped
};

/// @brief keeps the newest era of the store that this node has learnt
/// @note pure; thread safety: none, the owner serialises calls
class store_era_tracker
{
public:
    /// @brief compares an era with the newest one and keeps the newer of both
    /// @param era store_era() if unknown, which changes nothing
    era_change note(store_era era);

    /// @brief store_era() until an era was learnt
    [[nodiscard]] store_era newest() const;

private:
    store_era newest_era;
};

} // namespace endivehinge

#endif
