#ifndef ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_MATCHER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_MATCHER_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/call_options.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief decides which responses on one connection belong to which request
///
/// Load pattern: a faulty server sends a response twice, the second time after
/// the next request was sent. All calls of a connection pass through this
/// class, whatever their kind and whatever the status of the response.
/// @note thread safety: none; used on the event loop only
class response_matcher
{
public:
    /// @brief whether a response to a request can be told from all that the
    /// server may still send on this connection: false for some time after an
    /// error response to a request with the same ID
    [[nodiscard]] bool can_identify(call_options const & options,
                                    time_point now) const;

    /// @brief decides whether a complete response belongs to the request in
    /// progress, and records it if so
    /// @param options of the request in progress
    /// @pre the requests of earlier responses passed can_identify()
    /// @return false if the response must be dropped
    [[nodiscard]] bool accept(call_options const & options,
                              response_message const & message,
                              time_point now);

    /// @brief whether the connection may carry another request: false after a
    /// response without an ID, since a second copy of it could not be told from
    /// a response to that request
    [[nodiscard]] bool is_reusable() const;

private:
    /// @pre the call has an ID and the response has none
    [[nodiscard]] bool
    accepts_unidentified(response_message const & message) const;
    void record_error(std::string const & id, time_point now);

    struct error_response
    {
        std::uint64_t id_hash = 0;
        time_point received;
    };

    // the latest last
    std::deque<error_response> error_responses;
    bool accepted_any = false;
    bool accepted_unidentified = false;
};

} // namespace endivehinge::detail

#endif
