#ifndef ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_ADAPTER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_ADAPTER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief what a client states of its request
struct client_request_head
{
    std::string id;
    // how long the client waits
    std::optional<duration> time_left;
};

/// @brief what a target states with a response
struct target_response_head
{
    // the target states that it did not run the request
    bool not_run = false;
    // the response is that of another run than the one addressed
    bool from_other_incarnation = false;
    // the response was produced by the target's service
    bool from_service = false;
    // the run that responded, where it is stated
    std::optional<target_id> id;
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    // time that work takes now, relative to the usual
    std::optional<double> slowdown;
    // how much longer the target bears only the cold rate
    std::optional<duration> cold_remaining;
};

/// @brief what the node beside a target adds to a request
struct dispatch_fields
{
    target_id target;
    service_name caller;
    duration time_left{0};
};

/// @brief reads and writes the fields of requests and responses
/// @note thread safety: const; any thread
class message_adapter
{
public:
    message_adapter() = default;
    message_adapter(message_adapter const &) = delete;
    message_adapter & operator=(message_adapter const &) = delete;
    virtual ~message_adapter() = default;

    /// @brief reads the fields of a client's request; bad ones are left out
    [[nodiscard]] virtual client_request_head
    read_request(header_fields const & fields) const = 0;

    /// @brief sets the fields that a target expects
    virtual void write_dispatch(header_fields & fields,
                                dispatch_fields const & values) const = 0;

    /// @brief reads the fields of a target's response; bad ones are left out
    [[nodiscard]] virtual target_response_head
    read_response(unsigned status, header_fields const & fields) const = 0;

    /// @brief the field that a target repeats to name the request
    [[nodiscard]] virtual std::string request_id_field() const = 0;

    /// @brief states when the client may come back
    virtual void write_retry_after(header_fields & fields,
                                   duration wait) const = 0;

    /// @brief whether a request asks if this node takes clients
    [[nodiscard]] virtual bool
    is_readiness_probe(request_message const & message) const = 0;
};

} // namespace endivehinge::detail

#endif
