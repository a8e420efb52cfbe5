#ifndef ENDIVEHINGE_TOOLS_COMMON_HISTORY_RECORD_HPP
#define ENDIVEHINGE_TOOLS_COMMON_HISTORY_RECORD_HPP

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string

#include <nlohmann/json.hpp> // NLOHMANN_JSON_SERIALIZE_ENUM

#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::tools
{

/// @brief what a caller or a target wrote down
enum class history_event
{
    none,
    // a caller's; one of the last four ends a call //
    invoke,   // a call begins
    attempt,  // one try of the call goes out
    rejected, // a try came back as not run
    answer,
    refused, // every try came back as not run
    unknown, // some try may have run
    lost,    // nothing came by the deadline and its slack
    // a target's //
    start, // flushed before the run starts
    finish,
    died,
};

NLOHMANN_JSON_SERIALIZE_ENUM(history_event,
                             {{history_event::none, "none"},
                              {history_event::invoke, "invoke"},
                              {history_event::attempt, "attempt"},
                              {history_event::rejected, "rejected"},
                              {history_event::answer, "answer"},
                              {history_event::refused, "refused"},
                              {history_event::unknown, "unknown"},
                              {history_event::lost, "lost"},
                              {history_event::start, "start"},
                              {history_event::finish, "finish"},
                              {history_event::died, "died"}})

/// @brief one line of a history
struct history_record
{
    // civil time, for what crosses processes
    std::int64_t time_ns = 0;
    history_event event = history_event::none;
    // one request of a caller, over all its tries
    std::string call;
    // one try of a call; the caller's own name for it
    std::string attempt;
    // the node's name for the try
    request_id id;
    idempotency_key key;
    service_name service;
    // the target that wrote the record; empty: a caller did
    std::string target;
    bool repeatable = false;
    // digests of the request's body, as sent and as the answer tells it
    std::string digest_sent;
    std::string digest_got;
    // whether the answer is complete by the length and digest it names
    bool whole = true;
    int status = 0;
};

/// @brief one JSON line without its end
/// @note pure
[[nodiscard]] std::string write_record(history_record const & record);

/// @brief reads one JSON line
/// @param reason why it is no record
/// @note pure
[[nodiscard]] std::optional<history_record>
read_record(std::string const & line, failure & reason);

} // namespace endivehinge::tools

#endif
