#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_RECORD_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_RECORD_HPP

#include <memory> // shared_ptr

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>

namespace endivehinge
{

/// @brief the state of an idempotency key that was used
enum class key_state
{
    in_flight = 0,
    finished = 1,
    indeterminate = 2, // its request may have run; the answer is unknown
};

/// @brief a key's record, as handed over from one key owner to the next
struct idempotency_record
{
    idempotency_key key;
    key_state state = key_state::indeterminate;
    request_fingerprint fingerprint;
    // set if finished
    std::shared_ptr<outcome const> result;
    // start of the validity window
    wall_time recorded;
};

} // namespace endivehinge

#endif
