#ifndef ENDIVEHINGE_COORDINATION_RECORD_HANDOVER_HPP
#define ENDIVEHINGE_COORDINATION_RECORD_HANDOVER_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/coordination/idempotency_record.hpp>
#include <endivehinge/coordination/owner_identity.hpp>

namespace endivehinge
{

/// @brief records on their way to the next owner of their keys
struct record_handover
{
    owner_identity from;
    owner_identity to;
    // the epoch in which the keys changed their owner
    epoch number;
    // with these, the receiver has all that the sender had
    bool is_complete = false;
    // uses before that may have been missing at the sender
    std::optional<wall_time> complete_since;
    std::vector<idempotency_record> records;
};

} // namespace endivehinge

#endif
