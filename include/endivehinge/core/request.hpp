#ifndef ENDIVEHINGE_CORE_REQUEST_HPP
#define ENDIVEHINGE_CORE_REQUEST_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what goes first when not everything can; lower values go first
enum class priority
{
    internal_check = 0,
    interactive = 1,
    batch = 2,
};

/// @brief the name of a priority, as the configuration writes it
[[nodiscard]] char const * to_string(priority urgency);

/// @brief a request on its way, with what has to travel with it
struct request
{
    request_id id;
    service_name service;
    http_request message;
    time_point deadline;
    priority urgency = priority::interactive;
    bool repeatable = false;
    // an earlier try may have crashed its target
    bool suspect = false;
    // calls above this one in its chain
    int depth = 0;
    // set where the caller named a request that runs at most once
    std::optional<idempotency_key> key;
    // the assignment under which a key owner dispatched it
    std::optional<epoch> owner_epoch;
};

} // namespace endivehinge

#endif
