#ifndef ENDIVEHINGE_COORDINATION_RESTORED_LIST_OPTIONS_HPP
#define ENDIVEHINGE_COORDINATION_RESTORED_LIST_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how long a node's knowledge outlasts a restore, for one kind
struct restored_list_options
{
    // for an object that the restored list lacks or has with earlier content
    duration presence_settle_time{0};
    // for an object that was deleted and that the restored list has again
    duration absence_settle_time{0};
    // a subject never returns to an earlier state, or from its deletion,
    // without a new write
    bool states_are_final = false;
    // deletions to remember; bounds memory
    std::size_t max_deletions = 512;
};

} // namespace endivehinge

#endif
