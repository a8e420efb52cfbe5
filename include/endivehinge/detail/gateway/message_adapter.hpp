#ifndef ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_ADAPTER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_ADAPTER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/client_credentials.hpp>

namespace endivehinge::detail
{

/// @brief the header fields of a client's request
struct client_request_head
{
    std::string id;
    // how long the client will wait for the response
    std::optional<duration> time_left;
};

/// @brief the header fields of a target's response
struct target_response_head
{
    // the target reports that it did not execute the request
    bool not_run = false;
    // another incarnation than the addressed one responded
    bool from_other_incarnation = false;
    // the response was produced by the target's service
    bool from_service = false;
    // the target is leaving and must get no new requests
    bool leaving = false;
    // the incarnation that responded, if the response names it
    std::optional<target_id> id;
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    // current service time relative to the normal one
    std::optional<double> slowdown;
    // requests per second that the target takes from all nodes together
    std::optional<double> rate_limit;
    // the response has a rate limit that cannot be read
    bool rate_limit_is_invalid = false;
    // time until the target accepts more than its cold start rate
    std::optional<duration> cold_remaining;
};

/// @brief the fields that the node beside a target adds to a request
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

    /// @brief reads the fields of a client's request; ignores malformed ones
    [[nodiscard]] virtual client_request_head
    read_request(header_fields const & fields) const = 0;

    /// @brief reads the key that identifies the client's account
    [[nodiscard]] virtual client_credentials
    read_credentials(header_fields const & fields) const = 0;

    /// @brief removes credentials and any account that the client stated, and
    /// sets the account for the target
    /// @param account no field is set if empty
    virtual void write_account(header_fields & fields,
                               account_name const & account) const = 0;

    /// @brief sets the fields of a response that asks the client for a key
    virtual void write_key_required(header_fields & fields) const = 0;

    /// @brief sets the fields that a target requires
    virtual void write_dispatch(header_fields & fields,
                                dispatch_fields const & values) const = 0;

    /// @brief reads the fields of a target's response; ignores malformed ones
    [[nodiscard]] virtual target_response_head
    read_response(unsigned status, header_fields const & fields) const = 0;

    /// @brief the name of the field that holds the request ID, which a target
    /// copies into its response
    [[nodiscard]] virtual std::string request_id_field() const = 0;

    /// @brief sets the time after which the client may retry
    virtual void write_retry_after(header_fields & fields,
                                   duration wait) const = 0;

    /// @brief whether a request is a readiness probe of the platform
    [[nodiscard]] virtual bool
    is_readiness_probe(request_message const & message) const = 0;
};

} // namespace endivehinge::detail

#endif
