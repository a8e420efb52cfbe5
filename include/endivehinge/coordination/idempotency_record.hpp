#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_RECORD_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_RECORD_HPP

#include <memory> // shared_ptr

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>

namespace endivehinge
{

/// @brief what is known of a key that was used
enum class key_state
{
    in_flight = 0,
    finished = 1,
    indeterminate = 2, // its request may have run, with no answer
};

/// @brief a key on its way from one key owner to the next
struct idempotency_record
{
    idempotency_key key;
    key_state state = key_state::indeterminate;
    request_fingerprint fingerprint;
    // where finished
    std::shared_ptr<outcome const> result;
    // the validity window counts from here
    wall_time recorded;
};

} // namespace endivehinge

#endif
