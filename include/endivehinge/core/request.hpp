#ifndef ENDIVEHINGE_CORE_REQUEST_HPP
#define ENDIVEHINGE_CORE_REQUEST_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief order in which requests are served under load; lower values first
enum class priority
{
    internal_check = 0,
    interactive = 1,
    batch = 2,
};

/// @brief the name of a priority, as used in the configuration
[[nodiscard]] char const * to_string(priority urgency);

/// @brief a request with the metadata that is forwarded with it
struct request
{
    request_id id;
    service_name service;
    http_request message;
    time_point deadline;
    priority urgency = priority::interactive;
    // may run more than once
    bool repeatable = false;
    // an earlier attempt may have crashed its target
    bool suspect = false;
    // number of calls above this one in its call chain
    int depth = 0;
    // set by the caller for a request that runs at most once
    std::optional<idempotency_key> key;
    // epoch of the assignment in which a key owner dispatched the request
    std::optional<epoch> owner_epoch;
};

} // namespace endivehinge

#endif
